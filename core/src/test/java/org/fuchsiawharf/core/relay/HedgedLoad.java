package org.fuchsiawharf.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.retry.HedgeLimits;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Plays an open load of idempotent requests on the decisions of one instance, against three endpoints with slots.
 *
 * <p>The calls of one request have the same times in each play with the same seed. An endpoint goes on with the work of
 * a cancelled call, so that the extra work is an upper bound. Confined to the test's thread.
 */
final class HedgedLoad implements EndpointCalls {
    static final int SLOTS = 6;
    static final double USUAL_MILLIS = 43;
    private static final long MILLI = RelayInstanceFixture.MILLI;
    private static final long DEADLINE_MILLIS = 2_600;

    private final Faults faults;
    private final TimerService timers = new TimerService(0);
    private final SplittableRandom arrivals;
    private final SplittableRandom work;
    private final Map<CallerExchange, SplittableRandom> workByRequest = new IdentityHashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final List<Long> durations = new ArrayList<>();
    private final RelayInstanceFixture fixture;
    private long workNanos;
    private int failed;

    /** The factor of a call's duration. */
    interface Faults {
        double slowness(String endpoint, long nowNanos, SplittableRandom random);
    }

    /** The result of a play: durations in milliseconds, calls and work in seconds. */
    record Result(double p50, double p99, double p999, int requests, int failed, long hedges, double workSeconds) {}

    private HedgedLoad(Faults faults, HedgeLimits limits, long seed) {
        this.faults = faults;
        this.arrivals = new SplittableRandom(seed);
        this.work = new SplittableRandom(seed + 1);
        this.fixture = RelayInstanceFixture.hedging(timers, limits, 2.3, this);
    }

    static Result play(Faults faults, HedgeLimits limits, double perSecond, int requests, long seed) {
        return new HedgedLoad(faults, limits, seed).run(perSecond, requests);
    }

    private Result run(double perSecond, int requests) {
        for (int i = 0; i < requests; i++) {
            double gapNanos = -Math.log(1 - arrivals.nextDouble()) / perSecond * 1e9;
            fixture.advance((long) (gapNanos / MILLI));
            long arrivedNanos = timers.now();
            RecordingExchange exchange = fixture.request("/get/x", DEADLINE_MILLIS);
            exchange.onOutcome = outcome -> {
                durations.add(timers.now() - arrivedNanos);
                failed += outcome.equals("200") ? 0 : 1;
            };
        }
        fixture.advance(2 * DEADLINE_MILLIS);
        long hedges = fixture.counts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("hedges:"))
                .mapToLong(Map.Entry::getValue)
                .sum();
        return new Result(
                quantile(0.5), quantile(0.99), quantile(0.999), durations.size(), failed, hedges, workNanos / 1e9);
    }

    private double quantile(double share) {
        long[] sorted = durations.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return sorted[Math.min(sorted.length - 1, (int) (share * sorted.length))] / (double) MILLI;
    }

    // -----------------------------------------------------------------------

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        SplittableRandom random = workByRequest.computeIfAbsent(exchange, e -> work.split());
        double spread = 0.8 + 0.4 * random.nextDouble();
        double slowness = faults.slowness(endpoint.name(), timers.now(), random);
        long nanos = (long) (USUAL_MILLIS * MILLI * spread * slowness);
        Host host = hosts.computeIfAbsent(endpoint.name(), Host::new);
        host.accept(new Job(nanos, listener));
        long sentNanos = timers.now();
        return new Call() {
            @Override
            public void cancel() {}

            @Override
            public long getLastReceivedNanos() {
                return sentNanos;
            }
        };
    }

    private record Job(long nanos, Listener listener) {}

    /** An endpoint that runs some calls at a time and reports its load with each response. */
    private final class Host {
        private final String name;
        private final ArrayDeque<Job> waiting = new ArrayDeque<>();
        private int running;

        private Host(String name) {
            this.name = name;
        }

        private void accept(Job job) {
            waiting.add(job);
            startNext();
        }

        private void startNext() {
            Job job = running < SLOTS ? waiting.poll() : null;
            if (job != null) {
                running++;
                workNanos += job.nanos();
                timers.schedule(timers.now() + job.nanos(), () -> {
                    running--;
                    startNext();
                    fixture.instance.getEndpointUpdates().onLoadReport(name, running, waiting.size(), SLOTS);
                    job.listener().onResponse(() -> 200);
                });
            }
        }
    }
}
