package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

class TestStreamVersionsOfFleet {
    private static final int INSTANCES = 9;
    private static final long STEP_MILLIS = 20;
    private static final long END_MILLIS = 50_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long RELEASE_INTERVAL_MILLIS = 400;
    private static final int MAX_TAKE_UPS = 3;
    private static final long LAST_EVENT_ID = 5;
    /** Time after its start from which an instance counts as in touch. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int MIN_TAKE_UPS = 12;

    private final TimerService timers = new TimerService(0);
    private final List<Member> members = new ArrayList<>();
    private final Instance[] fleet = new Instance[INSTANCES];
    private final List<Attempt> attempts = new ArrayList<>();
    private VersionedEngines engines = new VersionedEngines(timers, 0);
    private SplittableRandom random = new SplittableRandom(0);
    private final SimulatedOriginStore store = new SimulatedOriginStore(timers);
    private int requests;
    private boolean firstOutOfStep;

    private record Instance(
            RelayInstanceFixture fixture,
            VersionedEngines.Calls calls,
            SimulatedOriginStore.Connection connection,
            long startMillis,
            List<Attempt> open) {}

    /** One request of a caller; the stream is the id of the first request, by which take-ups name it. */
    private record Attempt(
            String stream, boolean takeUp, boolean countsForTakeUps, RecordingExchange exchange, int takeUps) {}

    private long nowMillis() {
        return timers.now() / RelayInstanceFixture.MILLI;
    }

    private void after(long millis, Runnable action) {
        timers.schedule(timers.now() + millis * RelayInstanceFixture.MILLI, action);
    }

    private void start(int index) {
        VersionedEngines.Calls calls = engines.new Calls();
        SimulatedOriginStore.Connection connection = store.new Connection();
        RelayInstanceFixture fixture = new RelayInstanceFixture(timers, members.get(index), members, 1_000, calls);
        fixture.context.origins().setStore(connection);
        connection.connect(fixture.context.origins().getHistory());
        fixture.context.origins().getHistory().start();
        fixture.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
        fixture.instance.getEndpointUpdates().onEndpoints(engines.list());
        fleet[index] = new Instance(fixture, calls, connection, nowMillis(), new ArrayList<>());
    }

    // The callers of a killed instance come back to others.
    private void kill(int index) {
        Instance killed = fleet[index];
        killed.calls().kill();
        killed.connection().kill();
        List.copyOf(killed.open()).forEach(attempt -> {
            attempt.exchange().onOutcome = outcome -> {};
            onBroken(attempt);
        });
        killed.fixture().instance.rejectNewRequests();
        fleet[index] = null;
        after(RESTART_MILLIS, () -> start(index));
    }

    private void list() {
        for (int i = firstOutOfStep ? 1 : 0; i < INSTANCES; i++) {
            Instance instance = fleet[i];
            if (instance != null) {
                instance.fixture().instance.getEndpointUpdates().onEndpoints(engines.list());
            }
        }
    }

    private void send(String stream, boolean takeUp, int takeUps) {
        int index = random.nextInt(INSTANCES);
        Instance instance = fleet[index];
        if (instance == null) {
            after(RESTART_MILLIS / 2, () -> send(stream, takeUp, takeUps));
            return;
        }
        String id = takeUp ? "take-up-" + requests++ : stream;
        RecordingExchange exchange = new RecordingExchange();
        boolean counts = takeUp
                && nowMillis() - instance.startMillis() > CONTACT_MILLIS
                && engines.versionsByStream.getOrDefault(stream, Set.of()).stream()
                        .allMatch(v -> engines.count(v) >= 2);
        Attempt attempt = new Attempt(stream, takeUp, counts, exchange, takeUps);
        attempts.add(attempt);
        instance.open().add(attempt);
        engines.onRequest(exchange, stream);
        exchange.onOutcome = outcome -> {
            instance.open().remove(attempt);
            if (outcome.equals("broken")) {
                onBroken(attempt);
            }
        };
        RelayRequest.@Nullable TakeUp taken = takeUp ? new RelayRequest.TakeUp(stream, LAST_EVENT_ID) : null;
        RelayRequest request = new RelayRequest(
                id,
                RelayInstanceFixture.HOST,
                "/chat/x",
                RelayInstanceFixture.KEY,
                6_000,
                List.of("root", "own-" + stream),
                List.of(),
                null,
                stream.hashCode(),
                taken);
        instance.fixture().instance.onRequest(request, exchange);
    }

    private void onBroken(Attempt attempt) {
        if (engines.hasBegun(attempt.stream()) && attempt.takeUps() < MAX_TAKE_UPS) {
            after(50 + random.nextInt(350), () -> send(attempt.stream(), true, attempt.takeUps() + 1));
        }
    }

    // Replaces the engines of a version one by one, from the given time on.
    private void release(long atMillis, String oldVersion, String newVersion, int count) {
        for (int i = 0; i < count; i++) {
            after(atMillis + i * RELEASE_INTERVAL_MILLIS, () -> {
                engines.start(newVersion, 1);
                list();
            });
            after(atMillis + (i + 1) * RELEASE_INTERVAL_MILLIS, () -> {
                engines.end(oldVersion, 1);
                list();
            });
        }
    }

    private void play(long seed) {
        random = new SplittableRandom(seed);
        engines = new VersionedEngines(timers, seed);
        engines.start("v1", 6);
        IntStream.range(0, INSTANCES).forEach(i -> members.add(RelayInstanceFixture.member(i)));
        IntStream.range(0, INSTANCES).forEach(this::start);
        release(6_000, "v1", "v1.1", 6);
        release(20_000, "v1.1", "v1.2", 3);
        release(40_000, "v1.2", "v1.3", 3);
        for (long atMillis : new long[] {7_500, 8_500, 23_000, 41_500}) {
            after(atMillis, () -> IntStream.range(0, INSTANCES)
                    .filter(i -> fleet[i] != null)
                    .forEach(this::kill));
        }
        for (long atMillis = 12_000; atMillis < END_MILLIS; atMillis += 3_000) {
            after(atMillis, () -> IntStream.range(0, INSTANCES)
                    .filter(i -> fleet[i] != null && random.nextInt(4) == 0)
                    .forEach(this::kill));
        }
        for (long millis = 0; millis < END_MILLIS; millis += STEP_MILLIS) {
            timersAdvance(STEP_MILLIS);
            if (random.nextInt(2) == 0) {
                send("stream-" + requests++, false, 0);
            }
        }
        timersAdvance(20_000);
    }

    // The first instance hears of nothing while engines of a second version start, and the others are killed.
    private void playWithInstanceOutOfStep(long seed) {
        random = new SplittableRandom(seed);
        engines = new VersionedEngines(timers, seed);
        engines.start("v1", 6);
        IntStream.range(0, INSTANCES).forEach(i -> members.add(RelayInstanceFixture.member(i)));
        IntStream.range(0, INSTANCES).forEach(this::start);
        after(6_000, () -> setFirstOutOfStep(true));
        after(6_200, () -> {
            engines.start("v1.1", 6);
            list();
        });
        for (long atMillis = 7_000; atMillis < 12_000; atMillis += 1_200) {
            after(atMillis, () -> IntStream.range(1, INSTANCES)
                    .filter(i -> fleet[i] != null && random.nextInt(2) == 0)
                    .forEach(this::kill));
        }
        after(12_000, () -> {
            setFirstOutOfStep(false);
            list();
        });
        for (long millis = 0; millis < 15_000; millis += STEP_MILLIS) {
            timersAdvance(STEP_MILLIS);
            send("stream-" + requests++, false, 0);
        }
        timersAdvance(20_000);
    }

    private void setFirstOutOfStep(boolean outOfStep) {
        firstOutOfStep = outOfStep;
        Objects.requireNonNull(fleet[0]).connection().setCut(outOfStep);
    }

    private List<String> findJoined() {
        return engines.versionsByStream.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(entry -> entry.getKey() + entry.getValue())
                .toList();
    }

    private void timersAdvance(long millis) {
        long end = timers.now() + millis * RelayInstanceFixture.MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        timers.advance(end);
    }

    private double shareBegun(List<Attempt> sent) {
        long begun = sent.stream()
                .filter(a -> engines.versionsByExchange.containsKey(a.exchange()))
                .count();
        return (double) begun / sent.size();
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void streamsTakenUpAfterInstancesWereKilledAreNotJoinedFromTwoVersions(long seed) {
        play(seed);
        assertThat(findJoined(), is(empty()));
    }

    // An instance that had not heard of a second version took streams of it up at the only version that it knew.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void streamsTakenUpAtInstanceOutOfStepAreNotJoinedFromTwoVersions(long seed) {
        playWithInstanceOutOfStep(seed);
        assertThat(engines.versionsByStream.values().contains(Set.of("v1.1")), is(true));
        assertThat(findJoined(), is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void streamsAreTakenUpAtLeastHalfAsOftenAsNewOnesBegin(long seed) {
        play(seed);
        List<Attempt> takeUps =
                attempts.stream().filter(Attempt::countsForTakeUps).toList();
        List<Attempt> first = attempts.stream().filter(a -> !a.takeUp()).toList();
        assertThat(takeUps.size(), greaterThanOrEqualTo(MIN_TAKE_UPS));
        assertThat(shareBegun(takeUps), greaterThanOrEqualTo(shareBegun(first) / 2));
    }
}
