package org.fuchsiawharf.http;

import io.undertow.util.HttpString;

/**
 * Header field names, media types and paths used between callers, instances and endpoints.
 *
 * <p>Stateless and thread-safe.
 */
public final class WireHeaders {
    public static final HttpString ATTEMPT = new HttpString("Attempt");
    public static final HttpString WORKSPACE = new HttpString("Workspace");
    public static final HttpString DEADLINE_MS = new HttpString("Deadline-Ms");
    public static final HttpString PRIORITY = new HttpString("Priority");
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    public static final HttpString DIALOGUE = new HttpString("Dialogue");
    public static final HttpString PREFIX_KEY = new HttpString("Prefix-Key");
    public static final HttpString OUTCOME = new HttpString("Outcome");
    public static final HttpString LEAVING = new HttpString("Leaving");
    public static final HttpString REQUEST_ID = new HttpString("Request-Id");
    public static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");

    public static final String JSON = "application/json";
    public static final String PROBLEM_JSON = "application/problem+json";
    public static final String EVENT_STREAM = "text/event-stream";

    public static final String STAGES_PATH = "/v1/stages/";
    public static final String EVENTS_PATH = "/v1/events";
    public static final String INSTANCES_PATH = "/v1/instances";

    private WireHeaders() {}
}
