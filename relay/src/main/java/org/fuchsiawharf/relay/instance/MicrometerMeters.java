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
 * Records counters and latency histograms for Prometheus.
 *
 * <p>Thread-safe.
 */
public final class MicrometerMeters implements Meters {
    private static final String PREFIX = "fuchsiawharf_";
    /** Upper bounds of the histogram buckets; the range covers routing decisions to the longest streams. */
    private static final long[] BUCKET_MILLIS = {5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 20_000};

    private record MeterKey(String name, String label) {}

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<MeterKey, Counter> counters = new ConcurrentHashMap<>();
    private final Map<MeterKey, Timer> timers = new ConcurrentHashMap<>();

    /** Creates an empty registry. */
    public MicrometerMeters() {}

    @Override
    public void count(String name, String label, long amount) {
        counters.computeIfAbsent(new MeterKey(name, label), this::newCounter).increment(amount);
    }

    @Override
    public void time(String name, String label, long nanos) {
        timers.computeIfAbsent(new MeterKey(name, label), this::newTimer).record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Formats all meters in the Prometheus text format.
     *
     * @return the text, never null
     */
    public String scrape() {
        return registry.scrape();
    }

    private Counter newCounter(MeterKey meter) {
        return Counter.builder(PREFIX + meter.name()).tag("kind", meter.label()).register(registry);
    }

    private Timer newTimer(MeterKey meter) {
        Duration[] buckets = new Duration[BUCKET_MILLIS.length];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = Duration.ofMillis(BUCKET_MILLIS[i]);
        }
        return Timer.builder(PREFIX + meter.name())
                .tag("kind", meter.label())
                .serviceLevelObjectives(buckets)
                .register(registry);
    }
}
