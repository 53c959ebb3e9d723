package org.fuchsiawharf.http.client;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.port.StageCall;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Sends stage calls to endpoints over HTTP.
 *
 * <p>A non-repeatable call is sent on a new connection, because the endpoint may be closing a reused one at the same
 * time. Thread-safe.
 */
public final class HttpEndpointPort implements EndpointPort {
    private final HttpClient client;
    private final EventSink sink;
    private final Map<AttemptId, HttpCall> openCalls = new ConcurrentHashMap<>();

    /**
     * Creates a port.
     *
     * @param client the client to send the requests with, not null
     * @param sink receives the results of the calls as events, not null
     */
    public HttpEndpointPort(HttpClient client, EventSink sink) {
        this.client = client;
        this.sink = sink;
    }

    @Override
    public void call(StageCall call) {
        StageResponseHandler handler = new StageResponseHandler(call, sink, () -> openCalls.remove(call.id()));
        HttpCall httpCall = client.post(
                HttpTarget.of(call.endpoint()),
                WireHeaders.STAGES_PATH + call.stage().name(),
                headersOf(call),
                bodyOf(call),
                !call.stage().repeatable(),
                handler);
        openCalls.put(call.id(), httpCall);
        if (handler.isDone()) {
            openCalls.remove(call.id(), httpCall);
        }
    }

    @Override
    public void cancel(AttemptId id, Endpoint endpoint) {
        HttpCall call = openCalls.remove(id);
        if (call != null) {
            call.cancel();
        }
    }

    private static Map<HttpString, String> headersOf(StageCall call) {
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(Headers.ACCEPT, call.stage().streaming() ? WireHeaders.EVENT_STREAM : WireHeaders.JSON);
        headers.put(WireHeaders.ATTEMPT, call.id().toString());
        headers.put(WireHeaders.WORKSPACE, call.workspace());
        headers.put(WireHeaders.PRIORITY, call.priority().getWireName());
        headers.put(WireHeaders.DEADLINE_MS, Long.toString(call.remainingMillis()));
        if (call.prefixKey() != 0) {
            headers.put(WireHeaders.PREFIX_KEY, Long.toHexString(call.prefixKey()));
        }
        if (call.reconnect()) {
            headers.put(WireHeaders.LAST_EVENT_ID, Long.toString(call.offset() - 1));
        }
        return headers;
    }

    private static byte[] bodyOf(StageCall call) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        write(body, "{\"input\":");
        body.writeBytes(call.input().getBytes());
        write(body, ",\"previous\":");
        body.writeBytes(call.previous().getBytes());
        if (call.offset() > 0) {
            write(body, ",\"offset\":" + call.offset() + ",\"partial\":\"");
            body.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(call.partial()));
            write(body, "\"");
        }
        write(body, "}");
        return body.toByteArray();
    }

    private static void write(ByteArrayOutputStream body, String text) {
        body.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }
}
