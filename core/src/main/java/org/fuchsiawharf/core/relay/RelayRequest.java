package org.fuchsiawharf.core.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a caller's request that affect its routing; method, header fields and body are kept by the adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's id of this attempt, empty if the caller sent none
 * @param host the host without a port
 * @param path the path without the query
 * @param key the workspace key, null if the request has none
 * @param deadlineMillis the time that the caller waits, counted from arrival, in milliseconds; 0 if not specified
 * @param promptParts the ids of the parts of the prompt in order, the last of which belongs to this request only
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces, null if the request has none
 * @param contentHash the hash of the method, the target and the body
 * @param takeUp the stream that the request takes up, null if it begins a new response
 */
public record RelayRequest(
        String id,
        String host,
        String path,
        @Nullable String key,
        long deadlineMillis,
        List<String> promptParts,
        List<Integer> pieces,
        @Nullable String pieceKey,
        long contentHash,
        @Nullable TakeUp takeUp) {
    /**
     * A stream that a caller takes up after its response has been broken off.
     *
     * @param firstRequest the id of the request whose response brought the first event, empty if the caller names none
     * @param lastEventId the id of the last event that the caller has received
     */
    public record TakeUp(String firstRequest, long lastEventId) {}

    /** Copies the lists. */
    public RelayRequest {
        promptParts = List.copyOf(promptParts);
        pieces = List.copyOf(pieces);
    }

    /**
     * Gets the last part of the prompt that the request shares with other requests, such as a session or a subject.
     *
     * @return the id of the part, empty if the prompt has no parts
     */
    public String sharedPart() {
        int size = promptParts.size();
        return size == 0 ? "" : promptParts.get(Math.max(0, size - 2));
    }

    /**
     * Gets the parts of the prompt that the request may share with other requests.
     *
     * @return the ids of all parts but the last, never null
     */
    List<String> sharedParts() {
        return promptParts.subList(0, Math.max(0, promptParts.size() - 1));
    }

    /** Gets the hash of the last shared part, 0 if the prompt has no parts. */
    long sharedPartHash() {
        return hash(sharedPart());
    }

    /** Gets the hash of the last part, which tells prompts apart; 0 if the prompt has no parts. */
    long ownPartHash() {
        return promptParts.isEmpty() ? 0 : hash(promptParts.get(promptParts.size() - 1));
    }

    /**
     * Gets the fingerprint of the request, which is the same each time that a workspace sends the same request.
     *
     * @param workspace the name of the workspace, empty if the request has none
     * @return the fingerprint as a hexadecimal number, never null
     */
    String fingerprint(String workspace) {
        return Long.toHexString(hash(workspace + "\n" + host + "\n" + contentHash));
    }

    private static long hash(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        return bytes.length == 0 ? 0 : MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
