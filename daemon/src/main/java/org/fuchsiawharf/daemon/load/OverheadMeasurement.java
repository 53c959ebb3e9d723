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
 * Measures the latency that an entry instance adds to a pipeline, compared with direct calls of its stages.
 *
 * <p>Alternates between requests through the instance and direct calls, at a fixed rate. Thread-safe.
 */
public final class OverheadMeasurement {
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
    private final Histogram instanceLatencies = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram directLatencies = new ConcurrentHistogram(MAX_MICROS, 3);

    /**
     * Creates a measurement.
     *
     * @param client the HTTP client for both kinds of requests, not null
     * @param entry the entry instance, not null
     * @param path the request path of the pipeline, not null
     * @param stages the endpoints of the stages, in pipeline order, not null
     */
    public OverheadMeasurement(HttpClient client, HttpTarget entry, String path, List<Endpoint> stages) {
        this.client = client;
        this.entry = entry;
        this.path = path;
        this.stages = List.copyOf(stages);
    }

    /**
     * Latency quantiles, in microseconds.
     *
     * @param p50 the median, in microseconds
     * @param p99 the 99th percentile, in microseconds
     * @param count the number of requests
     */
    public record Quantiles(long p50, long p99, long count) {
        private static Quantiles of(Histogram histogram) {
            return new Quantiles(
                    histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99), histogram.getTotalCount());
        }
    }

    /**
     * The latencies measured in one run.
     *
     * @param viaInstance the latencies of requests through the instance
     * @param direct the latencies of direct calls of all stages
     */
    public record Result(Quantiles viaInstance, Quantiles direct) {}

    /**
     * Measures both latencies at a fixed rate.
     *
     * @param perSecond the number of requests per second of each kind
     * @param seconds the duration, in seconds
     * @return the latencies, never null
     * @throws IllegalStateException if requests have not ended {@code seconds} + 10 s after the last one was sent
     */
    public Result run(double perSecond, int seconds) {
        instanceLatencies.reset();
        directLatencies.reset();
        int requestsPerKind = (int) (perSecond * seconds);
        CountDownLatch remaining = new CountDownLatch(2 * requestsPerKind);
        long intervalNanos = (long) (NANOS_PER_SECOND / perSecond / 2);
        long runStartNanos = System.nanoTime();
        for (int i = 0; i < 2 * requestsPerKind; i++) {
            long dueNanos = runStartNanos + i * intervalNanos;
            for (long now = System.nanoTime(); now < dueNanos; now = System.nanoTime()) {
                LockSupport.parkNanos(dueNanos - now);
            }
            if (i % 2 == 0) {
                callInstance(remaining);
            } else {
                callStage(0, System.nanoTime(), remaining);
            }
        }
        try {
            if (!remaining.await(seconds + 10L, TimeUnit.SECONDS)) {
                throw new IllegalStateException(remaining.getCount() + " requests have not ended within the timeout");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Result(Quantiles.of(instanceLatencies), Quantiles.of(directLatencies));
    }

    private void callInstance(CountDownLatch remaining) {
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(WireHeaders.WORKSPACE, "probe");
        headers.put(WireHeaders.DEADLINE_MS, "4000");
        long startNanos = System.nanoTime();
        post(entry, path, headers, INPUT, () -> record(instanceLatencies, startNanos, remaining));
    }

    private void callStage(int index, long startNanos, CountDownLatch remaining) {
        if (index == stages.size()) {
            record(directLatencies, startNanos, remaining);
            return;
        }
        Endpoint endpoint = stages.get(index);
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(WireHeaders.ATTEMPT, "probe.1.0.1");
        String stagePath = WireHeaders.STAGES_PATH + endpoint.service();
        post(
                HttpTarget.of(endpoint),
                stagePath,
                headers,
                STAGE_BODY,
                () -> callStage(index + 1, startNanos, remaining));
    }

    private void post(
            HttpTarget target, String requestPath, Map<HttpString, String> headers, byte[] body, Runnable onEnd) {
        BodyCollector collector = new BodyCollector();
        collector.getFuture().thenAccept(response -> onEnd.run());
        client.post(target, requestPath, headers, body, false, collector);
    }

    private static void record(Histogram histogram, long startNanos, CountDownLatch remaining) {
        histogram.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / NANOS_PER_MICRO));
        remaining.countDown();
    }
}
