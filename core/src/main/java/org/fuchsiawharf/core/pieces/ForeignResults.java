package org.fuchsiawharf.core.pieces;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The space that results of others take at each endpoint of a service.
 *
 * <p>Answers the load after a cut or the death of instances: their results fill endpoints for seconds, and a call that
 * finds no space costs as much as one that makes a full batch. An endpoint that had no space for a piece counts as
 * full until it tells how much is free, and is asked again for as long as others take any. One that does not tell is
 * tried again after a while. Confined to the decision loop.
 */
final class ForeignResults {
    /** How long what an endpoint told is relied on; about a call, in which others free or make some results. */
    private static final long REFRESH_NANOS = 250_000_000L;
    /** Less than any result; what is smaller is forgotten. */
    private static final long NEGLIGIBLE_BYTES = 1_000;

    private final String service;
    private final PieceCalls calls;
    private final TimerService timers;
    private final DecisionLog log;
    private final ResultSpace own;
    private final Runnable onTold;
    private final Map<String, Share> shareByEndpoint = new HashMap<>();

    /** What others take at one endpoint, as of the last time that it was asked. */
    private static final class Share {
        private long bytes;
        private long askedNanos;
        private boolean answered;
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

    /** Gets the bytes that others take at an endpoint; asks it again if that is not fresh. */
    long getUsed(Endpoint endpoint, long capacityBytes) {
        Share share = shareByEndpoint.get(endpoint.name());
        if (share == null) {
            return 0;
        }
        if (timers.now() - share.askedNanos >= REFRESH_NANOS) {
            if (!share.answered || share.bytes < NEGLIGIBLE_BYTES) {
                shareByEndpoint.remove(endpoint.name());
                return 0;
            }
            ask(endpoint, capacityBytes, share);
        }
        return share.bytes;
    }

    /** Counts an endpoint as full, since it had no space for a piece, and asks how much it has. */
    void onNoSpace(Endpoint endpoint, long capacityBytes) {
        Share share = shareByEndpoint.computeIfAbsent(endpoint.name(), e -> new Share());
        boolean asked = share.askedNanos == timers.now() && share.bytes > 0;
        share.bytes = Math.max(share.bytes, capacityBytes - own.getUsed(endpoint.name(), timers.now()));
        if (!asked) {
            ask(endpoint, capacityBytes, share);
        }
    }

    private void ask(Endpoint endpoint, long capacityBytes, Share share) {
        share.askedNanos = timers.now();
        share.answered = false;
        calls.askFreeSpace(endpoint, free -> {
            share.answered = true;
            long used = own.getUsed(endpoint.name(), timers.now());
            share.bytes = Math.max(0, capacityBytes - free - used);
            log.write(
                    "stage.space_told",
                    "service",
                    service,
                    "endpoint",
                    endpoint.name(),
                    "free_bytes",
                    free,
                    "own_bytes",
                    used,
                    "foreign_bytes",
                    share.bytes);
            onTold.run();
        });
    }
}
