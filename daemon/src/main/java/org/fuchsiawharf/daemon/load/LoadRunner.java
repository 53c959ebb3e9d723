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
 * Sends the requests of a schedule at their times, whether or not earlier ones were answered.
 *
 * <p>Latency counts from the planned time, so a delay in sending shows. Thread-safe.
 */
public final class LoadRunner {
    private static final long GRACE_MILLIS = 2_000;
    private static final int MAX_CONNECT_TRIES = 3;
    private static final long PROGRESS_MILLIS = 1_000;

    private final HttpClient client;
    private final Balancer balancer;
    private final Progress progress;
    private final ConcurrentLinkedQueue<CallerRecord> records = new ConcurrentLinkedQueue<>();
    private final AtomicLong attained = new AtomicLong();

    /** Hears how far a load is. */
    @FunctionalInterface
    public interface Progress {
        /**
         * Reports progress.
         *
         * @param sent requests sent
         * @param ended requests ended
         * @param attained requests answered in time
         */
        void report(long sent, long ended, long attained);
    }

    /**
     * Creates a runner.
     *
     * @param client sends the requests, not null
     * @param balancer chooses instances, not null
     * @param progress hears of progress once a second, not null
     */
    public LoadRunner(HttpClient client, Balancer balancer, Progress progress) {
        this.client = client;
        this.balancer = balancer;
        this.progress = progress;
    }

    /**
     * Runs a schedule to its end.
     *
     * @param schedule the schedule, not null
     * @return one record for each request, in the order they ended, never null
     */
    public List<CallerRecord> run(LoadSchedule schedule) {
        long start = System.nanoTime();
        CountDownLatch left = new CountDownLatch(schedule.requests().size());
        long nextProgress = start;
        long sent = 0;
        for (LoadSchedule.Planned planned : schedule.requests()) {
            long due = start + planned.atNanos();
            for (long now = System.nanoTime(); now < due; now = System.nanoTime()) {
                LockSupport.parkNanos(due - now);
            }
            new Sending(planned, due, left).send();
            sent++;
            if (due >= nextProgress) {
                progress.report(sent, records.size(), attained.get());
                nextProgress = due + TimeUnit.MILLISECONDS.toNanos(PROGRESS_MILLIS);
            }
        }
        await(left, schedule);
        progress.report(sent, records.size(), attained.get());
        return List.copyOf(records);
    }

    private static void await(CountDownLatch left, LoadSchedule schedule) {
        long longest = schedule.requests().stream()
                .mapToLong(planned -> planned.template().deadlineMillis())
                .max()
                .orElse(0);
        try {
            // Each request ends by itself within its deadline and the grace.
            if (!left.await(longest + 2 * GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(left.getCount() + " requests did not end");
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

    /** One request on its way, through another instance if the first can't be reached. */
    private final class Sending {
        private final LoadSchedule.Planned planned;
        private final long dueNanos;
        private final CountDownLatch left;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile @Nullable HttpCall call;
        private int tries;

        private Sending(LoadSchedule.Planned planned, long dueNanos, CountDownLatch left) {
            this.planned = planned;
            this.dueNanos = dueNanos;
            this.left = left;
        }

        private void send() {
            tryNext();
            long bound = planned.template().deadlineMillis() + GRACE_MILLIS;
            client.getIoThread().executeAfter(this::giveUp, bound, TimeUnit.MILLISECONDS);
        }

        private void tryNext() {
            HttpTarget target = balancer.choose();
            if (target == null || tries++ >= MAX_CONNECT_TRIES) {
                end(Result.LOST, "no instance is ready");
                return;
            }
            CallerExchange exchange = new CallerExchange(planned, this::end, () -> {
                balancer.onUnreachable(target);
                tryNext();
            });
            call = client.post(target, planned.template().path(), headersOf(planned), bodyOf(planned), false, exchange);
        }

        private void giveUp() {
            HttpCall last = call;
            if (!ended.get() && last != null) {
                last.cancel();
            }
            end(Result.LOST, "no answer within the deadline and the grace");
        }

        private void end(Result result, String code) {
            if (ended.compareAndSet(false, true)) {
                CallerRecord ending = new CallerRecord(planned, result, code, System.nanoTime() - dueNanos);
                records.add(ending);
                if (ending.isAttained()) {
                    attained.incrementAndGet();
                }
                left.countDown();
            }
        }
    }
}
