package org.fuchsiawharf.core.pieces;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The space that results of others take at each endpoint of a service.
 *
 * <p>Answers the load after a cut or the death of instances: their results fill endpoints for seconds, and a call that
 * finds space for one piece costs almost as much as one that makes a full batch. An endpoint that had no space for a
 * piece counts as full; that belief halves as time passes, within what the endpoint reports, and is renewed by the next
 * piece without space. The endpoint is asked again for as long as others take any. Confined to the decision loop.
 */
final class ForeignSpaceEstimator {
    /** How long a report is relied on; about a call, in which others free or make some results. */
    private static final long REPORT_REFRESH_NANOS = 250_000_000L;
    /**
     * After how long half of what was believed to be taken is tried. Results whose owner died lapse within seconds,
     * those of a live owner go within about a call; at 250 ms more calls find no space, at 1,500 ms more space is idle.
     */
    private static final double HALF_LIFE_NANOS = 600e6;
    /** The share of the space that counts as none. */
    private static final double NEGLIGIBLE_SHARE = 1 / 16.0;

    private final String service;
    private final PieceCalls calls;
    private final TimerService timers;
    private final DecisionLog log;
    private final ResultSpace ownSpace;
    private final Runnable onReport;
    private final Map<String, Estimate> estimateByEndpoint = new HashMap<>();

    /** What others take at one endpoint. */
    private static final class Estimate {
        private long assumedBytes;
        private long assumedAtNanos;
        private long requestedAtNanos;
        private PieceCalls.@Nullable FreeSpace report;
    }

    /**
     * Creates a record of nothing.
     *
     * @param service the service, for the log, not null
     * @param context what all pools share, not null
     * @param own the space of the pool's own results, not null
     * @param onTold runs when an endpoint has told its free space, not null
     */
    ForeignSpaceEstimator(String service, PoolContext context, ResultSpace ownSpace, Runnable onReport) {
        this.service = service;
        this.calls = context.calls();
        this.timers = context.timers();
        this.log = context.log();
        this.ownSpace = ownSpace;
        this.onReport = onReport;
    }

    /** Gets the bytes that others take at an endpoint; asks it again if its report is not fresh. */
    long getUsedBytes(Endpoint endpoint, long capacityBytes) {
        Estimate estimate = estimateByEndpoint.get(endpoint.name());
        if (estimate == null) {
            return 0;
        }
        long used = estimateUsedBytes(estimate, endpoint, capacityBytes);
        if (used < capacityBytes * NEGLIGIBLE_SHARE) {
            estimateByEndpoint.remove(endpoint.name());
            return 0;
        }
        if (timers.now() - estimate.requestedAtNanos >= REPORT_REFRESH_NANOS) {
            requestReport(endpoint, capacityBytes, estimate);
        }
        return used;
    }

    private long estimateUsedBytes(Estimate estimate, Endpoint endpoint, long capacityBytes) {
        long age = timers.now() - estimate.assumedAtNanos;
        long assumed = (long) (estimate.assumedBytes * Math.pow(0.5, age / HALF_LIFE_NANOS));
        PieceCalls.FreeSpace report = estimate.report;
        if (report == null) {
            return assumed;
        }
        long remaining = capacityBytes - ownSpace.getUsedBytes(endpoint.name(), timers.now());
        long minUsed = Math.max(0, remaining - report.atMostBytes());
        return Math.max(minUsed, Math.min(assumed, Math.max(0, remaining - report.atLeastBytes())));
    }

    /** Counts an endpoint as full, since it had no space for a piece, and asks how much it has. */
    void onNoSpace(Endpoint endpoint, long capacityBytes) {
        Estimate estimate = estimateByEndpoint.computeIfAbsent(endpoint.name(), e -> new Estimate());
        boolean isFirst = estimate.assumedBytes == 0 || estimate.assumedAtNanos != timers.now();
        estimate.assumedBytes = Math.max(0, capacityBytes - ownSpace.getUsedBytes(endpoint.name(), timers.now()));
        estimate.assumedAtNanos = timers.now();
        if (isFirst) {
            requestReport(endpoint, capacityBytes, estimate);
        }
    }

    private void requestReport(Endpoint endpoint, long capacityBytes, Estimate estimate) {
        estimate.requestedAtNanos = timers.now();
        estimate.report = null;
        calls.askFreeSpace(endpoint, report -> {
            estimate.report = report;
            log.write(
                    "stage.space_told",
                    "service",
                    service,
                    "endpoint",
                    endpoint.name(),
                    "free_at_least",
                    report.atLeastBytes(),
                    "free_at_most",
                    report.atMostBytes(),
                    "own_bytes",
                    ownSpace.getUsedBytes(endpoint.name(), timers.now()),
                    "foreign_bytes",
                    estimateUsedBytes(estimate, endpoint, capacityBytes));
            onReport.run();
        });
    }
}
