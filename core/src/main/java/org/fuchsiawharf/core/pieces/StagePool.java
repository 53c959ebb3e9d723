package org.fuchsiawharf.core.pieces;

import java.util.List;

/**
 * Makes the pieces of one stage service.
 *
 * <p>Confined to the decision loop.
 */
public interface StagePool {
    /**
     * Orders pieces.
     *
     * @param orders the pieces, not null
     * @param listener hears what becomes of each, not null
     */
    void submit(List<PieceOrder> orders, PieceListener listener);

    /**
     * Withdraws the pieces of a request that have not begun; their listener hears nothing more.
     *
     * @param requestId the request's id, not null
     */
    void cancel(String requestId);

    /**
     * Gives results up, so that their makers may free the space.
     *
     * @param handles the handles of the results, not null
     */
    void release(List<String> handles);
}
