package org.fuchsiawharf.core.pieces;

import java.util.List;

/**
 * Passes the results of the pieces that another instance submitted to the outbox, those of one call together.
 *
 * <p>Confined to the decision loop.
 */
final class RemoteResultSender implements PieceListener {
    private final String submitter;
    private final PoolKey pool;
    private final ResultOutbox outbox;

    RemoteResultSender(String submitter, PoolKey pool, ResultOutbox outbox) {
        this.submitter = submitter;
        this.pool = pool;
        this.outbox = outbox;
    }

    @Override
    public void onResult(PieceResult result) {
        onResults(List.of(result));
    }

    @Override
    public void onResults(List<PieceResult> results) {
        outbox.add(submitter, pool, results);
    }

    @Override
    public boolean isOfOtherInstance() {
        return true;
    }
}
