package org.fuchsiawharf.core.pieces;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the space at each endpoint of a service that is taken by foreign results, those of other instances' pools.
 *
 * <p>For seconds after a network partition or a crash of instances, abandoned foreign results occupy endpoints. A call
 * that then has space for one piece takes almost as long as a full batch. An endpoint without space for a piece is
 * assumed to be full. The assumed use decays exponentially within the bounds that the endpoint reports, and is set to
 * full again when the next piece finds no space. Reports are requested for as long as foreign results take space.
 *
 * <p>Confined to the decision loop.
 */
final class ForeignSpaceEstimator {
    /** Age at which a report is refreshed: about the duration of a call, as other pools then free or add results. */
    private static final long REPORT_REFRESH_NANOS = 250_000_000L;
    /**
     * Half-life of the assumed use. Results of a crashed owner expire within seconds, and a live owner releases its
     * results within about one call. At 250 ms, a greater number of calls find no space; at 1,500 ms, a greater part of
     * the space stays unused.
     */
    private static final double HALF_LIFE_NANOS = 600e6;
    /** Share of the capacity below which foreign use is ignored. */
    private static final double NEGLIGIBLE_SHARE = 1 / 16.0;

    private final String service;
    private final EndpointTable table;
    private final PieceCalls calls;
    private final TimerService timers;
    private final DecisionLog log;
    private final ResultSpace ownSpace;
    private final Runnable onReport;
    private final Map<String, Estimate> estimateByEndpoint = new HashMap<>();

    /** Estimated foreign use at one endpoint. */
    private static final class Estimate {
        private long assumedBytes;
        private long assumedAtNanos;
        private long requestedAtNanos;
        private PieceCalls.@Nullable FreeSpace report;
    }

    /**
     * Creates an estimator without any foreign use.
     *
     * @param service the service's name for the log, not null
     * @param context the components that all pools of the instance share, not null
     * @param ownSpace the space of the pool's own results, not null
     * @param onReport called when an endpoint has reported its free space, not null
     */
    ForeignSpaceEstimator(String service, PoolContext context, ResultSpace ownSpace, Runnable onReport) {
        this.service = service;
        this.table = context.table();
        this.calls = context.calls();
        this.timers = context.timers();
        this.log = context.log();
        this.ownSpace = ownSpace;
        this.onReport = onReport;
    }

    private long estimateAndRefresh(Endpoint endpoint, long capacityBytes) {
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

    /** Gets the estimated free bytes at an endpoint; requests a new report if the last is outdated. */
    long estimateFreeBytes(Endpoint endpoint, long capacityBytes) {
        return capacityBytes
                - ownSpace.getUsedBytes(endpoint.name(), timers.now())
                - estimateAndRefresh(endpoint, capacityBytes);
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

    /** Assumes that an endpoint without space for a piece is full, and requests a report of its free space. */
    void onNoSpace(Endpoint endpoint, long capacityBytes) {
        Estimate estimate = estimateByEndpoint.computeIfAbsent(endpoint.name(), e -> new Estimate());
        boolean isFirstAtThisTime = estimate.assumedBytes == 0 || estimate.assumedAtNanos != timers.now();
        estimate.assumedBytes = Math.max(0, capacityBytes - ownSpace.getUsedBytes(endpoint.name(), timers.now()));
        estimate.assumedAtNanos = timers.now();
        if (isFirstAtThisTime) {
            requestReport(endpoint, capacityBytes, estimate);
        }
    }

    private void requestReport(Endpoint endpoint, long capacityBytes, Estimate estimate) {
        EndpointState state = table.getEndpoint(endpoint.name());
        // The few requests that a limited endpoint accepts are left to calls.
        long now = timers.now();
        if (state == null
                || state.getRequestLimit().getPerSecond() > 0
                || state.getRequestLimit().isCold(now)
                || !state.acceptsRequest(now)) {
            return;
        }
        estimate.requestedAtNanos = timers.now();
        estimate.report = null;
        calls.requestFreeSpace(endpoint, report -> {
            estimate.report = report;
            log.write(
                    "stage.space_reported",
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
