package org.fuchsiawharf.core.pieces;

import java.util.HashSet;
import java.util.Set;

/**
 * One ordered piece while its pool works on it.
 *
 * <p>It is finished once; whatever comes after that is given up. Confined to the decision loop.
 */
final class PieceTask {
    final PieceOrder order;
    final long queuedNanos;
    /** Endpoints that failed at this piece and are tried again only when there is no other. */
    final Set<String> failedEndpoints = new HashSet<>();

    int attempts;
    boolean finished;

    private final PieceListener listener;

    PieceTask(PieceOrder order, PieceListener listener, long queuedNanos) {
        this.order = order;
        this.listener = listener;
        this.queuedNanos = queuedNanos;
    }

    /** Ends the piece and tells its listener, unless it has ended. */
    void finish(PieceResult result) {
        if (!finished) {
            finished = true;
            listener.onResult(result);
        }
    }

    /** Ends the piece without a word. */
    void cancel() {
        finished = true;
    }
}
