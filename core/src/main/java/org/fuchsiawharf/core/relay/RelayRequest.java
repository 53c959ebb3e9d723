package org.fuchsiawharf.core.relay;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What the decisions know of a caller's request; its method, fields and body stay with the adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's id of this attempt, empty if it named none
 * @param host the host without a port
 * @param path the path without the query
 * @param key the workspace key, null if it has none
 * @param deadlineMillis how long the caller waits from its arrival, in milliseconds; 0 if it does not say
 * @param promptParts the ids of the parts of the prompt in order, the last one the request's own
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces, null if it has none
 */
public record RelayRequest(
        String id,
        String host,
        String path,
        @Nullable String key,
        long deadlineMillis,
        List<String> promptParts,
        List<Integer> pieces,
        @Nullable String pieceKey) {
    /** Copies the lists. */
    public RelayRequest {
        promptParts = List.copyOf(promptParts);
        pieces = List.copyOf(pieces);
    }

    /**
     * Gets the part of the prompt that other requests share most closely: a session or a subject.
     *
     * @return the part's id, empty if the prompt has no parts
     */
    public String sharedPart() {
        int size = promptParts.size();
        return size == 0 ? "" : promptParts.get(Math.max(0, size - 2));
    }
}
