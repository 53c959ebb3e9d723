package org.fuchsiawharf.core.pieces;

import java.util.HashSet;
import java.util.Set;

/**
 * A submitted piece that its pool processes.
 *
 * <p>A task finishes once; later results are released.
 *
 * <p>Confined to the decision loop.
 */
final class PieceTask {
    final PieceOrder order;
    final long queuedNanos;
    /** Endpoints at which this piece failed; retried only if all usable endpoints failed. */
    final Set<String> failedEndpoints = new HashSet<>();

    int attempts;
    /** Whether the piece was refused and may be sent again only when the retry budget allows it. */
    boolean awaitsRetryBudget;

    boolean finished;

    final PieceListener listener;

    PieceTask(PieceOrder order, PieceListener listener, long queuedNanos) {
        this.order = order;
        this.listener = listener;
        this.queuedNanos = queuedNanos;
    }

    /** Finishes the piece and notifies its listener, unless the piece is finished already. */
    void finish(PieceResult result) {
        if (!finished) {
            finished = true;
            listener.onResult(result);
        }
    }

    /** Finishes the piece without notifying its listener. */
    void finishSilently() {
        finished = true;
    }
}
