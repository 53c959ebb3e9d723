package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.quarantine.QuarantineStore;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TestRepeatedRequestCrashesOfFleet {
    private static final long STEP_MILLIS = 20;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long END_MILLIS = 40_000;
    /** The number of crashes after which the request may not be sent again, once the fleet had time to learn. */
    private static final int CRASHES = 3;

    private static final int MAX_SENDS_AFTER = 3;
    private static final int ROOTS = 20;
    private static final int SESSIONS = 136;
    private static final long CALLER_RETRY_MILLIS = 100;
    private static final long CRASHING_CONTENT = -1;

    private final TimerService timers = new TimerService(0);
    private final EvidenceNetwork network = new EvidenceNetwork(timers);
    private final List<RelayInstanceFixture> fleet = new ArrayList<>();
    private final List<Sent> sound = new ArrayList<>();
    private int requests;

    private record Sent(long millis, RecordingExchange exchange) {}

    /** The requests of a play: their path, and the prompt parts of each content. */
    private interface Load {
        String path();

        List<String> parts(long content, SplittableRandom random);
    }

    private enum Chat implements Load {
        CHAT;

        @Override
        public String path() {
            return "/chat/x";
        }

        @Override
        public List<String> parts(long content, SplittableRandom random) {
            return List.of("root-" + random.nextInt(ROOTS), "session-" + random.nextInt(SESSIONS), "own-" + content);
        }
    }

    private enum Lookup implements Load {
        LOOKUP;

        @Override
        public String path() {
            return "/get/x";
        }

        @Override
        public List<String> parts(long content, SplittableRandom random) {
            return List.of();
        }
    }

    private void startFleet(int instances, CrashingEngines engines) {
        List<Member> members = IntStream.range(0, instances)
                .mapToObj(RelayInstanceFixture::member)
                .toList();
        for (Member member : members) {
            RelayInstanceFixture instance = new RelayInstanceFixture(timers, member, members, 1_000, engines);
            instance.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
            network.connect(member.name(), instance.quarantine);
            fleet.add(instance);
        }
        engines.setOnListed(
                () -> fleet.forEach(i -> i.instance.getEndpointUpdates().onEndpoints(engines.list())));
        fleet.forEach(i -> i.instance.getEndpointUpdates().onEndpoints(engines.list()));
    }

    // All evidence is lost with the instances; the store reports to each new one what it keeps.
    private void restartAll(CrashingEngines engines, Map<Suspect, Integer> stored) {
        int instances = fleet.size();
        fleet.clear();
        startFleet(instances, engines);
        fleet.forEach(i -> {
            connectStore(i, stored);
            Map.copyOf(stored).forEach(i.quarantineKeeper::onStored);
        });
    }

    private static void connectStore(RelayInstanceFixture instance, Map<Suspect, Integer> stored) {
        instance.quarantineKeeper.setStore(new QuarantineStore() {
            @Override
            public void put(Suspect suspect, int trials) {
                stored.put(suspect, trials);
            }

            @Override
            public void remove(Suspect suspect) {
                stored.remove(suspect);
            }
        });
    }

    private RecordingExchange send(CrashingEngines engines, Load load, long content, SplittableRandom random) {
        RecordingExchange exchange = new RecordingExchange();
        boolean crashing = content == CRASHING_CONTENT;
        engines.onRequest(exchange, crashing ? List.of(CrashingEngines.CRASHING_PART) : List.of());
        List<String> parts = load.parts(content, crashing ? new SplittableRandom(1) : random);
        RelayRequest request = new RelayRequest(
                "r" + requests++,
                RelayInstanceFixture.HOST,
                load.path(),
                RelayInstanceFixture.KEY,
                4_000,
                parts,
                List.of(),
                null,
                content,
                null);
        fleet.get(random.nextInt(fleet.size())).instance.onRequest(request, exchange);
        return exchange;
    }

    // Callers repeat a request once if it was lost.
    private void sendSound(CrashingEngines engines, Load load, long content, SplittableRandom random, boolean repeat) {
        RecordingExchange exchange = send(engines, load, content, random);
        sound.add(new Sent(timers.now() / RelayInstanceFixture.MILLI, exchange));
        exchange.onOutcome = outcome -> {
            if (repeat && (outcome.equals("LOST") || outcome.equals("broken"))) {
                timers.schedule(
                        timers.now() + CALLER_RETRY_MILLIS * RelayInstanceFixture.MILLI,
                        () -> sendSound(engines, load, content, random, false));
            }
        };
    }

    // Sends sound requests and, after the warm-up, 2.5 times a second the same crashing one.
    private void play(CrashingEngines engines, Load load, long seed, int soundEachStep) {
        SplittableRandom random = new SplittableRandom(seed);
        for (long millis = 0; millis < END_MILLIS; millis += STEP_MILLIS) {
            fleet.get(0).advance(STEP_MILLIS);
            for (int i = 0; i < soundEachStep; i++) {
                sendSound(engines, load, requests, random, true);
            }
            if (millis > WARM_UP_MILLIS && random.nextInt(20) == 0) {
                send(engines, load, CRASHING_CONTENT, random);
            }
        }
        fleet.get(0).advance(10_000);
    }

    private double shareBegun(CrashingEngines engines, long fromMillis, long toMillis) {
        List<Sent> within = sound.stream()
                .filter(s -> s.millis() >= fromMillis && s.millis() < toMillis)
                .toList();
        long begun = within.stream()
                .filter(s -> engines.begun.contains(s.exchange()))
                .count();
        return (double) begun / within.size();
    }

    private void verifySends(CrashingEngines engines) {
        assertThat(engines.crashMillis, hasSize(greaterThanOrEqualTo(CRASHES)));
        long thirdMillis = engines.crashMillis.get(CRASHES - 1);
        long sendsAfter = engines.crashingSendMillis.stream()
                .filter(millis -> millis > thirdMillis + CONTACT_MILLIS)
                .count();
        assertThat(sendsAfter, lessThanOrEqualTo((long) MAX_SENDS_AFTER));
        double before = shareBegun(engines, 0, WARM_UP_MILLIS);
        double after = shareBegun(engines, thirdMillis + 2 * CONTACT_MILLIS, END_MILLIS);
        assertThat(after, greaterThanOrEqualTo(before / 2));
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void streamThatCrashesEachEngineIsSentToNoMoreThanThreeAfterTheThird(long seed) {
        CrashingEngines engines = new CrashingEngines(timers, 6, seed);
        startFleet(9, engines);
        play(engines, Chat.CHAT, seed, 1);
        verifySends(engines);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void requestWithoutPromptPartsThatCrashesEachEndpointIsSentToNoMoreThanThreeAfterTheThird(long seed) {
        CrashingEngines endpoints = new CrashingEngines(timers, "plain", 3, false, seed);
        startFleet(9, endpoints);
        play(endpoints, Lookup.LOOKUP, seed, 1);
        verifySends(endpoints);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void requestThatCrashesEndpointsThatRestartUnderTheirNamesIsSentToNoMoreThanThreeAfterTheThird(long seed) {
        CrashingEngines endpoints = new CrashingEngines(timers, "plain", 2, true, seed);
        startFleet(9, endpoints);
        play(endpoints, Lookup.LOOKUP, seed, 1);
        verifySends(endpoints);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void quarantinedRequestIsNotSentAgainAfterAllInstancesWereKilled(long seed) {
        CrashingEngines engines = new CrashingEngines(timers, 6, seed);
        Map<Suspect, Integer> stored = new HashMap<>();
        startFleet(9, engines);
        fleet.forEach(i -> connectStore(i, stored));
        play(engines, Chat.CHAT, seed, 1);
        int sends = engines.crashingSendMillis.size();
        restartAll(engines, stored);
        play(engines, Chat.CHAT, seed, 1);
        restartAll(engines, stored);
        play(engines, Chat.CHAT, seed, 1);
        assertThat(engines.crashingSendMillis, hasSize(lessThanOrEqualTo(sends + MAX_SENDS_AFTER)));
    }

    @Test
    void requestThatCrashesEachEngineOfLargestFleetIsSentToNoMoreThanThreeAfterTheThird() {
        CrashingEngines engines = new CrashingEngines(timers, 37, 1);
        startFleet(95, engines);
        play(engines, Chat.CHAT, 1, 3);
        verifySends(engines);
    }
}
