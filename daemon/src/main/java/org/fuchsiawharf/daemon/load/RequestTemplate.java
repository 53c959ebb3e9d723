package org.fuchsiawharf.daemon.load;

import java.util.List;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.util.Arguments;

/**
 * One kind of request of a load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path to post to
 * @param workspaces the workspaces that send it, used in turn
 * @param share its share among all kinds
 * @param deadlineMillis its deadline, in milliseconds
 * @param tokens the tokens it asks for, 0 if it asks for none
 * @param stream whether the caller wants server-sent events
 * @param keyed whether it carries an idempotency key
 * @param dialogues the dialogues that its requests are turns of, 0 for none
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
     * Copies the list and checks the bounds.
     *
     * @throws ArgumentException if there is no workspace or a number is out of bounds
     */
    public RequestTemplate {
        workspaces = List.copyOf(workspaces);
        Arguments.between(workspaces.size(), 1, 10_000, "requests.workspaces.size of " + path);
        Arguments.between(share, 1, 1_000, "requests.share of " + path);
        Arguments.between(deadlineMillis, 1, 600_000, "requests.deadlineMillis of " + path);
    }
}
