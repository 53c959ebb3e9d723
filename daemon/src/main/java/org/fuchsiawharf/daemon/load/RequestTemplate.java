package org.fuchsiawharf.daemon.load;

import java.util.List;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.util.Arguments;

/**
 * A type of request in a load, with its share of the traffic.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path that requests are posted to, not null
 * @param workspaces the workspaces that send these requests, drawn at random, not null
 * @param share the weight of this type relative to the other types of the load
 * @param deadlineMillis the deadline of each request, in milliseconds
 * @param tokens the number of tokens to generate, 0 for none
 * @param stream whether the caller accepts server-sent events
 * @param keyed whether each request has an idempotency key
 * @param dialogues the number of dialogues of each workspace that the requests belong to, 0 for none
 */
public record RequestTemplate(
        String path,
        List<String> workspaces,
        int share,
        long deadlineMillis,
        int tokens,
        boolean stream,
        boolean keyed,
        int dialogues) {
    /**
     * Creates a template with a copy of the list of workspaces.
     *
     * @throws ArgumentException if there is no workspace or a number is out of range
     */
    public RequestTemplate {
        workspaces = List.copyOf(workspaces);
        Arguments.between(workspaces.size(), 1, 10_000, "requests.workspaces.size of " + path);
        Arguments.between(share, 1, 1_000, "requests.share of " + path);
        Arguments.between(deadlineMillis, 1, 600_000, "requests.deadlineMillis of " + path);
    }
}
