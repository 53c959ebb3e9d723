package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A service's backlog as its owner last told it, with what this instance sent there since.
 *
 * <p>Confined to the decision loop.
 */
final class ReportedBacklog {
    private final int[] sentSince = new int[StageBacklog.RANKS];
    private StageBacklog backlog = StageBacklog.EMPTY;
    private long reportedAtNanos;

    void set(StageBacklog report, long nowNanos) {
        backlog = report;
        reportedAtNanos = nowNanos;
        Arrays.fill(sentSince, 0);
    }

    void onSent(List<PieceOrder> orders) {
        for (PieceOrder order : orders) {
            sentSince[Math.min(StageBacklog.RANKS - 1, Math.max(0, order.terms().rank()))]++;
        }
    }

    StageBacklog get() {
        List<Integer> queued = new ArrayList<>();
        for (int i = 0; i < StageBacklog.RANKS; i++) {
            queued.add(backlog.queuedByRank().get(i) + sentSince[i]);
        }
        return new StageBacklog(queued, backlog.endpoints(), backlog.idle());
    }

    long getReportedAtNanos() {
        return reportedAtNanos;
    }
}
