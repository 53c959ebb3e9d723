package org.fuchsiawharf.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Plays streams on engines of unequal speed, which read prompts one after the other and state their load. */
class TestUnequalEnginesOfFleet {
    private static final long MILLI = 1_000_000L;
    private static final int INSTANCES = 24;
    private static final int ENGINES = 12;
    private static final int SLOTS = 64;
    /** Usual time in which an engine reads a prompt. */
    private static final long PROMPT_NANOS = 100 * MILLI;

    private static final long STREAM_NANOS = 1_000 * MILLI;
    private static final long OBJECTIVE_NANOS = 600 * MILLI;
    private static final int REQUESTS = 1_500;
    private static final int WARM_UP_REQUESTS = 300;
    private static final double[] DURATION_RATIOS = {0.7, 0.7, 1.7};
    private static final double MOMENTARY_RATIO = 2.5;
    private static final double MOMENTARY_SHARE = 0.15;
    private static final long MOMENT_NANOS = 600 * MILLI;

    private final TimerService timers = new TimerService(0);
    private final SplittableRandom random = new SplittableRandom(11);
    private final Map<String, Engine> engines = new HashMap<>();
    private final List<RelayInstanceFixture> fleet = new ArrayList<>();
    private final Map<CallerExchange, LongConsumer> onStartByExchange = new HashMap<>();
    private final List<Long> startNanos = new ArrayList<>();
    private boolean statesDuration;
    private boolean slowForMoments;

    /** An engine that reads one prompt at a time. */
    private final class Engine {
        private final int index;
        private final double usualRatio;
        private final ArrayDeque<Runnable> prompts = new ArrayDeque<>();
        private int running;
        private boolean reading;

        private Engine(int index) {
            this.index = index;
            usualRatio = DURATION_RATIOS[index % DURATION_RATIOS.length];
        }

        private double ratio() {
            long moment = timers.now() / MOMENT_NANOS * ENGINES + index;
            boolean slow = slowForMoments && new SplittableRandom(moment).nextDouble() < MOMENTARY_SHARE;
            return slow ? usualRatio * MOMENTARY_RATIO : usualRatio;
        }

        private void add(Runnable onRead) {
            prompts.add(onRead);
            readNext();
        }

        private void readNext() {
            if (!reading && !prompts.isEmpty()) {
                reading = true;
                timers.schedule(timers.now() + (long) (PROMPT_NANOS * ratio()), () -> {
                    reading = false;
                    running++;
                    prompts.remove().run();
                    readNext();
                });
            }
        }
    }

    private EndpointCalls callsOf(int index) {
        return (exchange, endpoint, terms, listener) -> {
            Engine engine = requireNonNull(engines.get(endpoint.name()));
            EndpointUpdates updates = fleet.get(index).instance.getEndpointUpdates();
            engine.add(() -> {
                updates.onLoadReport(endpoint.name(), engine.running, engine.prompts.size(), SLOTS);
                if (statesDuration) {
                    updates.onDurationReport(endpoint.name(), engine.ratio());
                }
                listener.onStreamStarted();
                requireNonNull(onStartByExchange.get(exchange)).accept(timers.now());
                timers.schedule(timers.now() + (long) (STREAM_NANOS * engine.usualRatio), () -> {
                    engine.running--;
                    listener.onStreamEnded(1);
                });
            });
            return new EndpointCalls.Call() {
                @Override
                public void cancel() {}

                @Override
                public long getLastReceivedNanos() {
                    return timers.now();
                }
            };
        };
    }

    private void startFleet() {
        List<EndpointStatus> listing = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.put("g" + i, new Engine(i));
            listing.add(new EndpointStatus(new Endpoint("g" + i, "engine", "a", "10.0.3." + i, 80), false));
        }
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            members.add(RelayInstanceFixture.member(i));
        }
        for (int i = 0; i < INSTANCES; i++) {
            fleet.add(new RelayInstanceFixture(timers, members.get(i), members, 1_000, callsOf(i)));
            fleet.get(i).instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
            fleet.get(i).instance.getEndpointUpdates().onEndpoints(listing);
        }
    }

    /** Sends requests whose prompts share one of a number of parts, and returns the times to the first event, sorted. */
    private List<Long> play(double requestsPerSecond, int sharedParts) {
        startFleet();
        for (int i = 0; i < REQUESTS; i++) {
            long next = timers.now() + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
            while (timers.getNextDue() <= next) {
                timers.advance(timers.getNextDue());
            }
            timers.advance(next);
            send(i, "part" + random.nextInt(sharedParts));
        }
        long end = timers.now() + 30_000 * MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        Collections.sort(startNanos);
        return startNanos;
    }

    private void send(int number, String part) {
        RecordingExchange exchange = new RecordingExchange();
        long sentNanos = timers.now();
        onStartByExchange.put(exchange, now -> {
            if (number >= WARM_UP_REQUESTS) {
                startNanos.add(now - sentNanos);
            }
        });
        RelayRequest request = new RelayRequest(
                "r" + number,
                RelayInstanceFixture.HOST,
                "/chat/x",
                RelayInstanceFixture.KEY,
                20_000,
                List.of(part, "own" + number),
                List.of(),
                null,
                number,
                null);
        fleet.get(random.nextInt(INSTANCES)).instance.onRequest(request, exchange);
    }

    private static double shareInTime(List<Long> times) {
        return times.stream().filter(t -> t <= OBJECTIVE_NANOS).count() / (double) (REQUESTS - WARM_UP_REQUESTS);
    }

    private static long quantile(List<Long> times, double share) {
        return times.get((int) (share * (times.size() - 1)));
    }

    private List<Long> playOther(boolean states, double requestsPerSecond, int sharedParts) {
        TestUnequalEnginesOfFleet other = new TestUnequalEnginesOfFleet();
        other.statesDuration = states;
        other.slowForMoments = slowForMoments;
        return other.play(requestsPerSecond, sharedParts);
    }

    // A third of the streams waited for engines that take more than twice as long as the others.
    @Test
    void streamsAvoidEnginesThatStateLongDuration() {
        List<Long> without = playOther(false, 60, 500);
        List<Long> with = playOther(true, 60, 500);
        assertThat(shareInTime(with), is(greaterThan(0.97)));
        assertThat(quantile(with, 0.99), is(lessThan(quantile(without, 0.99) / 2)));
        assertThat(quantile(with, 0.5), is(lessThan(quantile(without, 0.5))));
    }

    // Streams were sent to engines that stated a moment before that they are slow.
    @Test
    void streamsComeInTimeWhileEnginesAreSlowForMoments() {
        slowForMoments = true;
        List<Long> without = playOther(false, 50, 500);
        List<Long> with = playOther(true, 50, 500);
        assertThat(shareInTime(with), is(greaterThan(0.95)));
        assertThat(quantile(with, 0.99), is(lessThan(quantile(without, 0.99))));
    }

    // All streams of a frequent prompt part queued at one engine while the others were idle.
    @Test
    void streamsOfFrequentPartSpreadWhenItsEngineIsFull() {
        List<Long> without = playOther(false, 50, 3);
        List<Long> with = playOther(true, 50, 3);
        assertThat(shareInTime(with), is(greaterThan(0.9)));
        assertThat(shareInTime(without), is(lessThan(shareInTime(with))));
    }
}
