package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The backlog of a pool that its owner last reported, plus the pieces that this instance has submitted since then.
 *
 * <p>Confined to the decision loop.
 */
final class ReportedBacklog {
    private final int[] submittedByRank = new int[StageBacklog.RANKS];
    private StageBacklog backlog = StageBacklog.EMPTY;
    private long reportedAtNanos;
    private boolean reported;

    void set(StageBacklog report, long nowNanos) {
        backlog = report;
        reportedAtNanos = nowNanos;
        reported = true;
        Arrays.fill(submittedByRank, 0);
    }

    void onSubmitted(List<PieceOrder> orders) {
        for (PieceOrder order : orders) {
            submittedByRank[
                    Math.min(StageBacklog.RANKS - 1, Math.max(0, order.terms().rank()))]++;
        }
    }

    StageBacklog get() {
        List<Integer> queued = new ArrayList<>();
        for (int i = 0; i < StageBacklog.RANKS; i++) {
            queued.add(backlog.queuedByRank().get(i) + submittedByRank[i]);
        }
        return new StageBacklog(queued, backlog.endpoints(), backlog.idle());
    }

    boolean isReported() {
        return reported;
    }

    long getReportedAtNanos() {
        return reportedAtNanos;
    }
}
