package org.fuchsiawharf.daemon.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.BodyCollector;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Compares a pipeline through an entry instance with its stages called directly, in one run.
 *
 * <p>Requests go by turns through the instance and directly, at fixed times. Thread-safe.
 */
public final class OverheadProbe {
    private static final long MAX_MICROS = 10_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final byte[] INPUT = "{\"nonce\":\"n\"}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] STAGE_BODY =
            "{\"input\":{\"nonce\":\"n\"},\"previous\":null}".getBytes(StandardCharsets.UTF_8);

    private final HttpClient client;
    private final HttpTarget entry;
    private final String path;
    private final List<Endpoint> stages;
    private final Histogram through = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram direct = new ConcurrentHistogram(MAX_MICROS, 3);

    /**
     * Creates a probe.
     *
     * @param client sends both kinds of requests, not null
     * @param entry the entry instance, not null
     * @param path the pipeline's path, not null
     * @param stages the endpoint of each stage, in order, not null
     */
    public OverheadProbe(HttpClient client, HttpTarget entry, String path, List<Endpoint> stages) {
        this.client = client;
        this.entry = entry;
        this.path = path;
        this.stages = List.copyOf(stages);
    }

    /**
     * Latencies in microseconds.
     *
     * @param p50 the median
     * @param p99 the 99th percentile
     * @param count the number of requests
     */
    public record Quantiles(long p50, long p99, long count) {
        private static Quantiles of(Histogram histogram) {
            return new Quantiles(
                    histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99), histogram.getTotalCount());
        }
    }

    /**
     * Both ways of one run.
     *
     * @param through through the instance
     * @param direct directly
     */
    public record Result(Quantiles through, Quantiles direct) {}

    /**
     * Sends requests at a fixed rate, by turns through the instance and directly.
     *
     * @param perSecond requests a second of each way
     * @param seconds the length
     * @return the latencies, never null
     * @throws IllegalStateException if requests did not end
     */
    public Result run(double perSecond, int seconds) {
        through.reset();
        direct.reset();
        int count = (int) (perSecond * seconds);
        CountDownLatch left = new CountDownLatch(2 * count);
        long gap = (long) (NANOS_PER_SECOND / perSecond / 2);
        long start = System.nanoTime();
        for (int i = 0; i < 2 * count; i++) {
            long due = start + i * gap;
            for (long now = System.nanoTime(); now < due; now = System.nanoTime()) {
                LockSupport.parkNanos(due - now);
            }
            if (i % 2 == 0) {
                callThrough(left);
            } else {
                callStage(0, System.nanoTime(), left);
            }
        }
        try {
            if (!left.await(seconds + 10L, TimeUnit.SECONDS)) {
                throw new IllegalStateException(left.getCount() + " requests did not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Result(Quantiles.of(through), Quantiles.of(direct));
    }

    private void callThrough(CountDownLatch left) {
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(WireHeaders.WORKSPACE, "probe");
        headers.put(WireHeaders.DEADLINE_MS, "4000");
        long sent = System.nanoTime();
        post(entry, path, headers, INPUT, () -> record(through, sent, left));
    }

    private void callStage(int index, long sent, CountDownLatch left) {
        if (index == stages.size()) {
            record(direct, sent, left);
            return;
        }
        Endpoint endpoint = stages.get(index);
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(WireHeaders.ATTEMPT, "probe.1.0.1");
        String stagePath = WireHeaders.STAGES_PATH + endpoint.service();
        post(HttpTarget.of(endpoint), stagePath, headers, STAGE_BODY, () -> callStage(index + 1, sent, left));
    }

    private void post(HttpTarget target, String to, Map<HttpString, String> headers, byte[] body, Runnable onEnd) {
        BodyCollector collector = new BodyCollector();
        collector.getFuture().thenAccept(response -> onEnd.run());
        client.post(target, to, headers, body, false, collector);
    }

    private static void record(Histogram histogram, long sent, CountDownLatch left) {
        histogram.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - sent) / NANOS_PER_MICRO));
        left.countDown();
    }
}
