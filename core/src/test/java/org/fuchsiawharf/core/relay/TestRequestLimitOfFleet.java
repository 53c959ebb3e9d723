package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.time.TimerService;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Tests a fleet under load of which some endpoints name the requests per second that they take from all instances. */
class TestRequestLimitOfFleet {
    private static final long MILLI = 1_000_000L;
    private static final long RESPONSE_NANOS = 20 * MILLI;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final long LIMIT_FROM_SECOND = 2;
    /** Time that the contract leaves to the fleet after an endpoint first named its limit. */
    private static final long GRACE_SECONDS = 3;
    /** Time after which an instance that received a limit is bound by it. */
    private static final long TOLD_NANOS = 500 * MILLI;

    private static final long WINDOW_SECONDS = 4;
    private static final double ALLOWED_SHARE = 1.5;
    private static final int ALLOWED_EXTRA = 5;

    private final TimerService timers = new TimerService(0);
    private final SplittableRandom random = new SplittableRandom(7);
    private final List<RelayInstanceFixture> fleet = new ArrayList<>();
    private final List<RecordingExchange> exchanges = new ArrayList<>();
    private final Map<String, Long> toldNanos = new HashMap<>();
    private final Map<String, List<Long>> arrivals = new HashMap<>();
    private final Map<String, List<Long>> boundArrivals = new HashMap<>();
    private final Set<String> limitedEndpoints = new HashSet<>();
    private double limit;

    /** Responds to each request after a fixed time, with the limit of the endpoint. */
    private final class LimitingCalls implements EndpointCalls {
        private final int index;

        private LimitingCalls(int index) {
            this.index = index;
        }

        @Override
        public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
            long sentNanos = timers.now();
            String name = endpoint.name();
            arrivals.computeIfAbsent(name, e -> new ArrayList<>()).add(sentNanos);
            if (sentNanos >= toldNanos.getOrDefault(index + name, Long.MAX_VALUE / 2) + TOLD_NANOS) {
                boundArrivals.computeIfAbsent(name, e -> new ArrayList<>()).add(sentNanos);
            }
            double named = limitedEndpoints.contains(name) ? limit : 0;
            timers.schedule(sentNanos + RESPONSE_NANOS, () -> {
                fleet.get(index).instance.getEndpointUpdates().onRequestLimit(name, named, sentNanos);
                if (named > 0) {
                    toldNanos.putIfAbsent(index + name, timers.now());
                }
                listener.onResponse(() -> 200);
            });
            return new Call() {
                @Override
                public void cancel() {}

                @Override
                public long getLastReceivedNanos() {
                    return timers.now();
                }
            };
        }
    }

    private void startFleet(int instances) {
        List<Member> members = IntStream.range(0, instances)
                .mapToObj(RelayInstanceFixture::member)
                .toList();
        for (int i = 0; i < instances; i++) {
            RelayInstanceFixture instance =
                    new RelayInstanceFixture(timers, members.get(i), members, 1_000, new LimitingCalls(i));
            instance.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
            instance.listEndpoints();
            fleet.add(instance);
        }
    }

    private void runUntil(long second) {
        long end = second * 1_000 * MILLI;
        while (timers.now() < end) {
            long next = timers.now() + (long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND * 1e9);
            while (timers.getNextDue() <= next) {
                timers.advance(timers.getNextDue());
            }
            timers.advance(next);
            exchanges.add(fleet.get(random.nextInt(fleet.size())).request("/get/x", 1_500));
        }
    }

    private Matcher<Integer> withinAllowance() {
        return is(lessThanOrEqualTo((int) Math.floor(ALLOWED_SHARE * limit * WINDOW_SECONDS + ALLOWED_EXTRA)));
    }

    private int maxInWindow(String endpoint) {
        List<Long> times = boundArrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(t -> t >= (LIMIT_FROM_SECOND + GRACE_SECONDS) * 1_000 * MILLI)
                .toList();
        int max = 0;
        for (long start : times) {
            max = Math.max(max, (int) times.stream()
                    .filter(t -> t >= start && t < start + WINDOW_SECONDS * 1_000 * MILLI)
                    .count());
        }
        return max;
    }

    private long countArrivals(String endpoint, long fromSecond) {
        return arrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(t -> t >= fromSecond * 1_000 * MILLI)
                .count();
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "15, 0.2", "15, 1", "15, 1.2", "15, 6", "77, 0.2", "77, 1", "77, 6"})
    void fleetDoesNotExceedLimitOfEndpoint(int instances, double perSecond) {
        limit = perSecond;
        startFleet(instances);
        runUntil(LIMIT_FROM_SECOND);
        limitedEndpoints.add("p0");
        runUntil(40);
        assertThat(maxInWindow("p0"), withinAllowance());
        assertThat(countArrivals("p0", 20), is(greaterThan((long) (perSecond * 4))));
    }

    @ParameterizedTest
    @CsvSource({"15, 1", "77, 1", "77, 3"})
    void fleetDoesNotExceedLimitsOfAllEndpointsOfService(int instances, double perSecond) {
        limit = perSecond;
        startFleet(instances);
        runUntil(LIMIT_FROM_SECOND);
        limitedEndpoints.addAll(List.of("p0", "p1", "p2"));
        runUntil(40);
        for (String endpoint : limitedEndpoints) {
            assertThat(endpoint, maxInWindow(endpoint), withinAllowance());
        }
    }

    @Test
    void requestsBeyondLimitsOfAllEndpointsAreRefusedAtOnceWithRetryDelay() {
        limit = 1;
        startFleet(15);
        limitedEndpoints.addAll(List.of("p0", "p1", "p2"));
        runUntil(20);
        int before = exchanges.size();
        runUntil(24);
        List<RecordingExchange> refused = exchanges.subList(before, exchanges.size()).stream()
                .filter(exchange -> !exchange.refusals.isEmpty())
                .toList();
        assertThat(refused.size(), is(greaterThan((exchanges.size() - before) * 3 / 4)));
        refused.forEach(exchange -> {
            assertThat(exchange.refusals.get(0).kind(), is(Refusal.Kind.NOT_RUN));
            assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
        });
    }

    @Test
    void endpointIsUsedAgainAfterItsLimitHasEnded() {
        limit = 1;
        startFleet(15);
        runUntil(LIMIT_FROM_SECOND);
        limitedEndpoints.add("p0");
        runUntil(12);
        limitedEndpoints.clear();
        runUntil(60);
        assertThat(countArrivals("p0", 50), is(greaterThan((long) (REQUESTS_PER_SECOND * 10 / 3 / 2))));
    }
}
