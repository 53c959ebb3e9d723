package org.fuchsiawharf.daemon.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.HttpCall;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;
import org.jspecify.annotations.Nullable;

/**
 * Sends the requests of a schedule at their planned times, regardless of the responses to earlier ones.
 *
 * <p>Latency is measured from the planned time, so it includes delays in sending. Thread-safe.
 */
public final class LoadRunner {
    private static final long GRACE_PERIOD_MILLIS = 2_000;
    private static final int MAX_CONNECT_ATTEMPTS = 3;
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

    private final HttpClient client;
    private final Balancer balancer;
    private final ProgressListener progressListener;
    private final ConcurrentLinkedQueue<CallerRecord> records = new ConcurrentLinkedQueue<>();
    private final AtomicLong attained = new AtomicLong();

    /** Receives reports of the progress of a load. */
    @FunctionalInterface
    public interface ProgressListener {
        /**
         * Reports progress.
         *
         * @param sent the number of requests sent
         * @param ended the number of requests that have ended
         * @param attained the number of requests answered within their deadline
         */
        void onProgress(long sent, long ended, long attained);
    }

    /**
     * Creates a runner.
     *
     * @param client the HTTP client that sends the requests, not null
     * @param balancer the balancer that chooses instances, not null
     * @param progressListener the listener that is notified once a second, not null
     */
    public LoadRunner(HttpClient client, Balancer balancer, ProgressListener progressListener) {
        this.client = client;
        this.balancer = balancer;
        this.progressListener = progressListener;
    }

    /**
     * Sends every request of a schedule and waits until all have ended.
     *
     * @param schedule the schedule, not null
     * @return one record for each request, in order of completion, never null
     */
    public List<CallerRecord> run(LoadSchedule schedule) {
        long startNanos = System.nanoTime();
        CountDownLatch remaining = new CountDownLatch(schedule.requests().size());
        long nextProgressNanos = startNanos;
        long sent = 0;
        for (LoadSchedule.Planned planned : schedule.requests()) {
            long dueNanos = startNanos + planned.atNanos();
            for (long now = System.nanoTime(); now < dueNanos; now = System.nanoTime()) {
                LockSupport.parkNanos(dueNanos - now);
            }
            new PendingRequest(planned, dueNanos, remaining).start();
            sent++;
            if (dueNanos >= nextProgressNanos) {
                progressListener.onProgress(sent, records.size(), attained.get());
                nextProgressNanos = dueNanos + TimeUnit.MILLISECONDS.toNanos(PROGRESS_INTERVAL_MILLIS);
            }
        }
        awaitAll(remaining, schedule);
        progressListener.onProgress(sent, records.size(), attained.get());
        return List.copyOf(records);
    }

    private static void awaitAll(CountDownLatch remaining, LoadSchedule schedule) {
        long maxDeadlineMillis = schedule.requests().stream()
                .mapToLong(planned -> planned.template().deadlineMillis())
                .max()
                .orElse(0);
        try {
            // Every request is timed out at the latest after its deadline plus the grace period.
            if (!remaining.await(maxDeadlineMillis + 2 * GRACE_PERIOD_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(remaining.getCount()
                        + " requests have not ended after the longest deadline and the grace period");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<HttpString, String> headersOf(LoadSchedule.Planned planned) {
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(Headers.ACCEPT, planned.template().stream() ? WireHeaders.EVENT_STREAM : WireHeaders.JSON);
        headers.put(WireHeaders.WORKSPACE, planned.workspace());
        headers.put(WireHeaders.DEADLINE_MS, Long.toString(planned.template().deadlineMillis()));
        if (planned.template().keyed()) {
            headers.put(WireHeaders.IDEMPOTENCY_KEY, planned.nonce());
        }
        if (!planned.dialogue().isEmpty()) {
            headers.put(WireHeaders.DIALOGUE, planned.dialogue());
        }
        return headers;
    }

    private static byte[] bodyOf(LoadSchedule.Planned planned) {
        record Body(String nonce, int tokens) {}
        return JsonText.write(new Body(planned.nonce(), planned.template().tokens()))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** A request in flight, sent to another instance if the first one is unreachable. */
    private final class PendingRequest {
        private final LoadSchedule.Planned planned;
        private final long dueNanos;
        private final CountDownLatch remaining;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile @Nullable HttpCall call;
        private int connectAttempts;

        private PendingRequest(LoadSchedule.Planned planned, long dueNanos, CountDownLatch remaining) {
            this.planned = planned;
            this.dueNanos = dueNanos;
            this.remaining = remaining;
        }

        private void start() {
            sendToNextInstance();
            long timeoutMillis = planned.template().deadlineMillis() + GRACE_PERIOD_MILLIS;
            client.getIoThread().executeAfter(this::timeOut, timeoutMillis, TimeUnit.MILLISECONDS);
        }

        private void sendToNextInstance() {
            HttpTarget target = balancer.choose();
            if (target == null || connectAttempts++ >= MAX_CONNECT_ATTEMPTS) {
                end(Result.LOST, "no instance is ready");
                return;
            }
            CallerResponseReader responseReader = new CallerResponseReader(planned, this::end, () -> {
                balancer.markUnreachable(target);
                sendToNextInstance();
            });
            call = client.post(
                    target, planned.template().path(), headersOf(planned), bodyOf(planned), false, responseReader);
        }

        private void timeOut() {
            HttpCall currentCall = call;
            if (!ended.get() && currentCall != null) {
                currentCall.cancel();
            }
            end(Result.LOST, "no answer within the deadline and the grace");
        }

        private void end(Result result, String code) {
            if (ended.compareAndSet(false, true)) {
                CallerRecord callerRecord = new CallerRecord(planned, result, code, System.nanoTime() - dueNanos);
                records.add(callerRecord);
                if (callerRecord.isAttained()) {
                    attained.incrementAndGet();
                }
                remaining.countDown();
            }
        }
    }
}
