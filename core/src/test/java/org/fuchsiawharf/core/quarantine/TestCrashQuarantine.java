package org.fuchsiawharf.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class TestCrashQuarantine {
    private static final long SECOND = 1_000_000_000L;
    private static final int MANY = 5_000;

    private final TimerService timers = new TimerService(0);
    private final CrashQuarantine quarantine = create(false);
    private final List<CrashEvidence> shared = new ArrayList<>();

    private CrashQuarantine create(boolean trialInstance) {
        return new CrashQuarantine(timers, part -> trialInstance, DecisionLog.NONE);
    }

    private static List<Suspect> parts(String... ids) {
        return Stream.of(ids).map(Suspect::ofPart).toList();
    }

    private static List<Suspect> request(String fingerprint) {
        return List.of(Suspect.ofRequest(fingerprint));
    }

    private static void loseAt(CrashQuarantine quarantine, String endpoint, long prompt, String... parts) {
        quarantine.onLost(parts(parts), prompt, endpoint);
        quarantine.onEnded(endpoint);
    }

    private void loseRequestAt(String fingerprint, String... endpoints) {
        for (String endpoint : endpoints) {
            quarantine.onLost(request(fingerprint), 0, endpoint);
            quarantine.onEnded(endpoint);
        }
    }

    private static void quarantinePart(CrashQuarantine quarantine, String part) {
        for (int i = 0; i < 3; i++) {
            loseAt(quarantine, "e" + i, i, part);
        }
    }

    private void advance(long seconds) {
        timers.advance(timers.now() + seconds * SECOND);
    }

    // -----------------------------------------------------------------------

    @Test
    void partOfLostCallsOfSeveralPromptsAtThreeEndedEndpointsIsQuarantined() {
        loseAt(quarantine, "e0", 1, "root", "crash");
        loseAt(quarantine, "e1", 1, "root", "crash");
        assertThat(quarantine.findQuarantined(parts("crash")), is(nullValue()));
        loseAt(quarantine, "e2", 2, "root-2", "crash");
        assertThat(quarantine.findQuarantined(parts("root", "crash")), is(Suspect.ofPart("crash")));
        assertThat(quarantine.findQuarantined(parts("root")), is(nullValue()));
    }

    @Test
    void callsLostAtEndpointsThatGoOnCountForNothing() {
        for (int i = 0; i < 10; i++) {
            quarantine.onLost(parts("session"), i, "e" + i);
        }
        assertThat(quarantine.findQuarantined(parts("session")), is(nullValue()));
    }

    @Test
    void callsLostAtEndpointsThatAnswerLaterCountForNothing() {
        for (int i = 0; i < 3; i++) {
            quarantine.onEnded("e" + i);
            advance(1);
            quarantine.onAnswered(parts("other"), "e" + i);
            advance(2);
        }
        for (int i = 0; i < 3; i++) {
            quarantine.onLost(parts("session"), i, "e" + i);
        }
        assertThat(quarantine.findQuarantined(parts("session")), is(nullValue()));
    }

    @Test
    void repeatsOfOnePromptThatWasLostWithFourEndpointsDoNotQuarantineIt() {
        for (int i = 0; i < 4; i++) {
            loseAt(quarantine, "e" + i, 7, "session");
        }
        assertThat(quarantine.findQuarantined(parts("session")), is(nullValue()));
    }

    @Test
    void partThatWasAnsweredIsNotSuspectedWhenARackOfEndpointsEnds() {
        quarantine.onAnswered(parts("root"), "e0");
        advance(2);
        for (int i = 0; i < 10; i++) {
            loseAt(quarantine, "e" + i, i, "root");
        }
        assertThat(quarantine.findQuarantined(parts("root")), is(nullValue()));
    }

    @Test
    void responseThatEndsWithItsEndpointIsNoProof() {
        quarantine.onAnswered(parts("crash"), "e0");
        advance(2);
        quarantine.onAnswered(parts("crash"), "e9");
        quarantine.onEnded("e9");
        advance(61);
        quarantinePart(quarantine, "crash");
        assertThat(quarantine.findQuarantined(parts("crash")), is(Suspect.ofPart("crash")));
    }

    @Test
    void longResponseReleasesQuarantinedPart() {
        quarantinePart(quarantine, "session");
        quarantine.onSound(parts("session"));
        assertThat(quarantine.findQuarantined(parts("session")), is(nullValue()));
    }

    @Test
    void oneInstanceAloneSendsTrialsAtIncreasingIntervals() {
        CrashQuarantine trialInstance = create(true);
        quarantinePart(quarantine, "crash");
        quarantinePart(trialInstance, "crash");
        int trials = 0;
        for (int second = 0; second < 420; second++) {
            advance(1);
            trials += trialInstance.findQuarantined(parts("crash")) == null ? 1 : 0;
            assertThat(quarantine.findQuarantined(parts("crash")), is(notNullValue()));
        }
        assertThat(trials, is(3));
    }

    @Test
    void retryDelayLastsUntilNextTrial() {
        quarantinePart(quarantine, "crash");
        advance(20);
        assertThat(quarantine.getRetryMillis(Suspect.ofPart("crash")), is(40_000L));
    }

    @Test
    void manyLossesAtOneEndpointDoNotHideThoseAtOthers() {
        for (int i = 0; i < MANY; i++) {
            quarantine.onLost(parts("crash"), i, "e0");
        }
        quarantinePart(quarantine, "crash");
        assertThat(quarantine.findQuarantined(parts("crash")), is(Suspect.ofPart("crash")));
    }

    @Test
    void requestLostAtThreeEndedEndpointsIsQuarantined() {
        loseRequestAt("crash", "e0", "e1");
        assertThat(quarantine.findQuarantined(request("crash")), is(nullValue()));
        loseRequestAt("crash", "e2");
        assertThat(quarantine.findQuarantined(request("crash")), is(Suspect.ofRequest("crash")));
    }

    @Test
    void partWithTheIdOfQuarantinedRequestIsNotQuarantined() {
        loseRequestAt("crash", "e0", "e1", "e2");
        assertThat(quarantine.findQuarantined(parts("crash")), is(nullValue()));
    }

    @Test
    void requestLostAtEndpointsThatRestartUnderTheirNamesIsQuarantined() {
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            quarantine.onLost(request("crash"), 0, "e0/" + incarnation);
            quarantine.onReplaced("e0/" + incarnation);
        }
        assertThat(quarantine.findQuarantined(request("crash")), is(notNullValue()));
    }

    @Test
    void answerOfRestartedEndpointDoesNotProveThatThePreviousGoesOn() {
        loseRequestAt("crash", "e0/1", "e1/1", "e2/1");
        quarantine.onReplaced("e0/1");
        advance(1);
        quarantine.onAnswered(request("other"), "e0/1");
        advance(2);
        loseRequestAt("crash", "e1/2");
        assertThat(quarantine.getEvidence().endedEndpoints(), hasItem("e0/1"));
    }

    @Test
    void requestLostTogetherWithOneThatCrashesMoreEndpointsIsReleased() {
        loseRequestAt("sound", "e0", "e1", "e2");
        assertThat(quarantine.findQuarantined(request("sound")), is(notNullValue()));
        loseRequestAt("crash", "e0", "e1", "e2", "e3");
        assertThat(quarantine.findQuarantined(request("crash")), is(notNullValue()));
        assertThat(quarantine.findQuarantined(request("sound")), is(nullValue()));
    }

    @Test
    void trialsOfInstancesThatTakeTurnsAreThreeInAll() {
        int trials = 0;
        CrashQuarantine sender = create(true);
        loseRequestAt("crash", "e0", "e1", "e2");
        for (int turn = 0; turn < 6; turn++) {
            sender.apply(quarantine.getEvidence());
            CrashQuarantine observer = sender;
            for (int second = 0; second < 590; second++) {
                advance(1);
                trials += observer.findQuarantined(request("crash")) == null ? 1 : 0;
                quarantine.findQuarantined(request("crash"));
                quarantine.apply(observer.getEvidence());
            }
            sender = create(true);
        }
        assertThat(trials, is(3));
    }

    @Test
    void restoredPartStaysQuarantinedAfterFurtherLossesOfOnePrompt() {
        quarantine.restore(Suspect.ofPart("crash"), 0);
        for (int i = 0; i < 3; i++) {
            loseAt(quarantine, "e" + i, 7, "crash");
        }
        assertThat(quarantine.findQuarantined(parts("crash")), is(notNullValue()));
    }

    @Test
    void requestThatGoesOnComingIsQuarantinedBeyondTenMinutes() {
        loseRequestAt("crash", "e0", "e1", "e2");
        for (int minute = 0; minute < 30; minute++) {
            advance(60);
            assertThat(quarantine.findQuarantined(request("crash")), is(notNullValue()));
        }
    }

    // -----------------------------------------------------------------------

    @Test
    void instanceThatStartsLaterLearnsOfQuarantine() {
        quarantinePart(quarantine, "crash");
        CrashQuarantine started = create(false);
        started.apply(quarantine.getEvidence());
        assertThat(started.findQuarantined(parts("crash")), is(Suspect.ofPart("crash")));
    }

    @Test
    void evidenceFromOtherInstanceIsPassedOnOnce() {
        quarantine.setObservationListener(shared::add);
        CrashQuarantine other = create(false);
        quarantinePart(other, "crash");
        quarantine.apply(other.getEvidence());
        quarantine.apply(other.getEvidence());
        assertThat(shared.size(), is(1));
    }

    @Test
    void instanceThatKnowsAnswerTellsTheOneThatSuspects() {
        quarantine.onAnswered(parts("session"), "e9");
        advance(2);
        quarantine.setObservationListener(shared::add);
        CrashQuarantine other = create(false);
        quarantinePart(other, "session");
        quarantine.apply(other.getEvidence());
        other.apply(shared.get(0));
        assertThat(other.findQuarantined(parts("session")), is(nullValue()));
    }

    // Instances that exchange evidence of different age forget it all the same.
    @Test
    void quarantineEndsTenMinutesAfterTheLastLoss() {
        quarantinePart(quarantine, "crash");
        CrashQuarantine other = create(false);
        advance(590);
        other.apply(quarantine.getEvidence());
        advance(11);
        quarantine.apply(other.getEvidence());
        assertThat(quarantine.findQuarantined(parts("crash")), is(nullValue()));
        assertThat(other.findQuarantined(parts("crash")), is(nullValue()));
    }

    @Test
    void manyDifferentPartsDoNotDisplaceTheOneThatCrashes() {
        loseAt(quarantine, "e0", 1, "crash");
        loseAt(quarantine, "e1", 2, "crash");
        for (int i = 0; i < MANY; i++) {
            quarantine.onLost(parts("part-" + i), i, "e0");
        }
        loseAt(quarantine, "e2", 3, "crash");
        assertThat(quarantine.findQuarantined(parts("crash")), is(Suspect.ofPart("crash")));
        assertThat(quarantine.getEvidence().losses().size(), is(lessThanOrEqualTo(3)));
    }
}
