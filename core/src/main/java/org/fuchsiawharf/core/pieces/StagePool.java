package org.fuchsiawharf.core.pieces;

import java.util.List;

/**
 * Processes the pieces of one pool.
 *
 * <p>Confined to the decision loop.
 */
public interface StagePool {
    /**
     * Submits pieces, which are sent to endpoints in batches.
     *
     * @param orders the pieces, not null
     * @param listener receives the result of each piece, not null
     */
    void submit(List<PieceOrder> orders, PieceListener listener);

    /**
     * Cancels the pieces of a request: queued pieces are not sent, and their listener is not notified any more.
     *
     * @param requestId the request's id, not null
     */
    void cancel(String requestId);

    /**
     * Releases results, so that their producers can free the space.
     *
     * @param handles the handles of the results, not null
     */
    void release(List<String> handles);
}
