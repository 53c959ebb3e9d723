package org.fuchsiawharf.relay.instance;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.loop.TaskLoop;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.edge.CallerServer;

/**
 * The stop of an instance: it drains, ends the remaining requests and waits for their answers.
 *
 * <p>The tunnels of other instances count as requests. Every request that was read is answered, and the answers have been passed to the operating system when the
 * sequence ends, unless the grace period ends before. Both threads may be late by any time. Used once, by one thread
 * other than the decision loop and the I/O thread.
 */
final class StopSequence {
    /** Time for which a stopping instance accepts requests; enough for two failed checks by the load balancer. */
    private static final long ACCEPT_MILLIS = 2_800;
    /** Time before the end of the grace period at which the remaining requests are ended, so that they are answered. */
    private static final long ANSWER_MARGIN_MILLIS = 700;
    /** Time before the end of the grace period until which answers are awaited; the rest is for the exit. */
    private static final long EXIT_MARGIN_MILLIS = 150;

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TaskLoop loop;
    private final IoThread ioThread;
    private final RelayInstance instance;
    private final TunnelService tunnels;
    private final CallerServer callerServer;
    private final DecisionLog log;
    private final long gracePeriodMillis;
    private final long startNanos = System.nanoTime();
    private int activeRequests;
    private int unsentResponses;

    StopSequence(
            TaskLoop loop,
            IoThread ioThread,
            RelayInstance instance,
            TunnelService tunnels,
            CallerServer callerServer,
            DecisionLog log,
            long gracePeriodMillis) {
        this.loop = loop;
        this.ioThread = ioThread;
        this.instance = instance;
        this.tunnels = tunnels;
        this.callerServer = callerServer;
        this.log = log;
        this.gracePeriodMillis = gracePeriodMillis;
    }

    // -----------------------------------------------------------------------

    /** Runs the sequence, whose last step is a task on the decision loop; blocks for the grace period at most. */
    void run(Runnable lastStep) {
        log.write("instance.stopping", "grace_ms", gracePeriodMillis);
        long drainMillis = gracePeriodMillis - ANSWER_MARGIN_MILLIS;
        callerServer.drain();
        long endNanos = startNanos + drainMillis * NANOS_PER_MILLI;
        loop.execute(() -> instance.rejectLateRequests(endNanos));
        while (elapsedMillis() < Math.min(ACCEPT_MILLIS, drainMillis)) {
            sleep();
        }
        // New requests are rejected from now on, so that no request is read and left without a response.
        loop.execute(instance::rejectNewRequests);
        callerServer.closeIdle();
        countActiveRequests(drainMillis);
        while (elapsedMillis() < drainMillis && (activeRequests > 0 || callerServer.getConnectionCount() > 0)) {
            sleep();
            countActiveRequests(drainMillis);
        }
        loop.execute(instance::endActiveRequests);
        awaitAnswers(gracePeriodMillis - EXIT_MARGIN_MILLIS);
        log.write(
                "instance.stopped",
                "unanswered",
                activeRequests,
                "unsent",
                unsentResponses,
                "took_ms",
                elapsedMillis());
        loop.execute(lastStep);
        awaitMessages(gracePeriodMillis - EXIT_MARGIN_MILLIS);
    }

    private void awaitAnswers(long untilMillis) {
        countUnsentResponses(untilMillis);
        while (unsentResponses > 0 && elapsedMillis() < untilMillis) {
            sleep();
            countUnsentResponses(untilMillis);
        }
    }

    // Messages that are sent on a new connection need a moment more.
    private void awaitMessages(long untilMillis) {
        CompletableFuture<Boolean> executed = new CompletableFuture<>();
        loop.execute(() -> ioThread.getLoop().execute(() -> executed.complete(true)));
        await(executed, false, untilMillis);
        sleep();
    }

    private void countActiveRequests(long untilMillis) {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(instance.getActive() + tunnels.getOpen()));
        activeRequests = await(count, activeRequests, untilMillis);
    }

    private void countUnsentResponses(long untilMillis) {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        callerServer.countUnsentResponses(count::complete);
        unsentResponses = await(count, callerServer.getConnectionCount(), untilMillis);
    }

    private <T> T await(CompletableFuture<T> result, T otherwise, long untilMillis) {
        long leftMillis = Math.max(0, untilMillis - elapsedMillis());
        return result.completeOnTimeout(otherwise, leftMillis, TimeUnit.MILLISECONDS)
                .join();
    }

    private long elapsedMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
