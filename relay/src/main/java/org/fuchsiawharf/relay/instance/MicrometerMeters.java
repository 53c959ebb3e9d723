package org.fuchsiawharf.relay.instance;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.fuchsiawharf.core.log.Meters;

/**
 * Keeps counters and latency histograms for Prometheus.
 *
 * <p>Thread-safe.
 */
public final class MicrometerMeters implements Meters {
    private static final String PREFIX = "fuchsiawharf_";
    /** Bounds of histogram buckets, in milliseconds: from a routing decision to the longest stream. */
    private static final long[] BUCKET_MILLIS = {5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 20_000};

    private record Key(String name, String label) {}

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Key, Counter> counters = new ConcurrentHashMap<>();
    private final Map<Key, Timer> timers = new ConcurrentHashMap<>();

    /** Creates meters without entries. */
    public MicrometerMeters() {}

    @Override
    public void count(String name, String label, long amount) {
        counters.computeIfAbsent(new Key(name, label), this::newCounter).increment(amount);
    }

    @Override
    public void time(String name, String label, long nanos) {
        timers.computeIfAbsent(new Key(name, label), this::newTimer).record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Writes every meter in the Prometheus text format.
     *
     * @return the text, never null
     */
    public String scrape() {
        return registry.scrape();
    }

    private Counter newCounter(Key key) {
        return Counter.builder(PREFIX + key.name()).tag("kind", key.label()).register(registry);
    }

    private Timer newTimer(Key key) {
        Duration[] buckets = new Duration[BUCKET_MILLIS.length];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = Duration.ofMillis(BUCKET_MILLIS[i]);
        }
        return Timer.builder(PREFIX + key.name())
                .tag("kind", key.label())
                .serviceLevelObjectives(buckets)
                .register(registry);
    }
}
