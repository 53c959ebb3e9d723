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
final class ForeignResults {
    /** How long a report is relied on; about a call, in which others free or make some results. */
    private static final long REFRESH_NANOS = 250_000_000L;
    /**
     * After how long half of what was believed to be taken is tried. Results whose owner died lapse within seconds,
     * those of a live owner go within about a call; at 250 ms more calls find no space, at 1,500 ms more space is idle.
     */
    private static final double HALVING_NANOS = 600e6;
    /** The share of the space that counts as none. */
    private static final double NEGLIGIBLE_SHARE = 1 / 16.0;

    private final String service;
    private final PieceCalls calls;
    private final TimerService timers;
    private final DecisionLog log;
    private final ResultSpace own;
    private final Runnable onTold;
    private final Map<String, Share> shareByEndpoint = new HashMap<>();

    /** What others take at one endpoint. */
    private static final class Share {
        private long believed;
        private long believedNanos;
        private long askedNanos;
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
    ForeignResults(String service, PoolContext context, ResultSpace own, Runnable onTold) {
        this.service = service;
        this.calls = context.calls();
        this.timers = context.timers();
        this.log = context.log();
        this.own = own;
        this.onTold = onTold;
    }

    /** Gets the bytes that others take at an endpoint; asks it again if its report is not fresh. */
    long getUsed(Endpoint endpoint, long capacityBytes) {
        Share share = shareByEndpoint.get(endpoint.name());
        if (share == null) {
            return 0;
        }
        long used = estimate(share, endpoint, capacityBytes);
        if (used < capacityBytes * NEGLIGIBLE_SHARE) {
            shareByEndpoint.remove(endpoint.name());
            return 0;
        }
        if (timers.now() - share.askedNanos >= REFRESH_NANOS) {
            ask(endpoint, capacityBytes, share);
        }
        return used;
    }

    private long estimate(Share share, Endpoint endpoint, long capacityBytes) {
        long age = timers.now() - share.believedNanos;
        long belief = (long) (share.believed * Math.pow(0.5, age / HALVING_NANOS));
        PieceCalls.FreeSpace report = share.report;
        if (report == null) {
            return belief;
        }
        long rest = capacityBytes - own.getUsed(endpoint.name(), timers.now());
        long least = Math.max(0, rest - report.atMostBytes());
        return Math.max(least, Math.min(belief, Math.max(0, rest - report.atLeastBytes())));
    }

    /** Counts an endpoint as full, since it had no space for a piece, and asks how much it has. */
    void onNoSpace(Endpoint endpoint, long capacityBytes) {
        Share share = shareByEndpoint.computeIfAbsent(endpoint.name(), e -> new Share());
        boolean news = share.believed == 0 || share.believedNanos != timers.now();
        share.believed = Math.max(0, capacityBytes - own.getUsed(endpoint.name(), timers.now()));
        share.believedNanos = timers.now();
        if (news) {
            ask(endpoint, capacityBytes, share);
        }
    }

    private void ask(Endpoint endpoint, long capacityBytes, Share share) {
        share.askedNanos = timers.now();
        share.report = null;
        calls.askFreeSpace(endpoint, report -> {
            share.report = report;
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
                    own.getUsed(endpoint.name(), timers.now()),
                    "foreign_bytes",
                    estimate(share, endpoint, capacityBytes));
            onTold.run();
        });
    }
}
