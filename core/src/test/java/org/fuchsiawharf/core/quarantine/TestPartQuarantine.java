package org.fuchsiawharf.core.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class TestPartQuarantine {
    private static final long SECOND = 1_000_000_000L;
    private static final int MANY = 5_000;

    private final TimerService timers = new TimerService(0);
    private final PartQuarantine quarantine = create(false);
    private final List<CrashEvidence> shared = new ArrayList<>();

    private PartQuarantine create(boolean trialInstance) {
        return new PartQuarantine(timers, part -> trialInstance, DecisionLog.NONE);
    }

    private static void loseAt(PartQuarantine quarantine, String endpoint, long prompt, String... parts) {
        quarantine.onLost(List.of(parts), prompt, endpoint);
        quarantine.onEnded(endpoint);
    }

    private static void quarantinePart(PartQuarantine quarantine, String part) {
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
        assertThat(quarantine.findQuarantined(List.of("crash")), is(nullValue()));
        loseAt(quarantine, "e2", 2, "root-2", "crash");
        assertThat(quarantine.findQuarantined(List.of("root", "crash")), is("crash"));
        assertThat(quarantine.findQuarantined(List.of("root")), is(nullValue()));
    }

    @Test
    void callsLostAtEndpointsThatGoOnCountForNothing() {
        for (int i = 0; i < 10; i++) {
            quarantine.onLost(List.of("session"), i, "e" + i);
        }
        assertThat(quarantine.findQuarantined(List.of("session")), is(nullValue()));
    }

    @Test
    void callsLostAtEndpointsThatAnswerLaterCountForNothing() {
        for (int i = 0; i < 3; i++) {
            quarantine.onEnded("e" + i);
            advance(1);
            quarantine.onAnswered(List.of("other"), "e" + i);
            advance(2);
        }
        for (int i = 0; i < 3; i++) {
            quarantine.onLost(List.of("session"), i, "e" + i);
        }
        assertThat(quarantine.findQuarantined(List.of("session")), is(nullValue()));
    }

    @Test
    void repeatsOfOnePromptThatWasLostWithFourEndpointsDoNotQuarantineIt() {
        for (int i = 0; i < 4; i++) {
            loseAt(quarantine, "e" + i, 7, "session");
        }
        assertThat(quarantine.findQuarantined(List.of("session")), is(nullValue()));
    }

    @Test
    void partThatWasAnsweredIsNotSuspectedWhenARackOfEndpointsEnds() {
        quarantine.onAnswered(List.of("root"), "e0");
        advance(2);
        for (int i = 0; i < 10; i++) {
            loseAt(quarantine, "e" + i, i, "root");
        }
        assertThat(quarantine.findQuarantined(List.of("root")), is(nullValue()));
    }

    @Test
    void responseThatEndsWithItsEndpointIsNoProof() {
        quarantine.onAnswered(List.of("crash"), "e0");
        advance(2);
        quarantine.onAnswered(List.of("crash"), "e9");
        quarantine.onEnded("e9");
        advance(61);
        quarantinePart(quarantine, "crash");
        assertThat(quarantine.findQuarantined(List.of("crash")), is("crash"));
    }

    @Test
    void longResponseReleasesQuarantinedPart() {
        quarantinePart(quarantine, "session");
        quarantine.onSound(List.of("session"));
        assertThat(quarantine.findQuarantined(List.of("session")), is(nullValue()));
    }

    @Test
    void oneInstanceAloneSendsTrialsAtIncreasingIntervals() {
        PartQuarantine trialInstance = create(true);
        quarantinePart(quarantine, "crash");
        quarantinePart(trialInstance, "crash");
        int trials = 0;
        for (int second = 0; second < 420; second++) {
            advance(1);
            trials += trialInstance.findQuarantined(List.of("crash")) == null ? 1 : 0;
            assertThat(quarantine.findQuarantined(List.of("crash")), is(notNullValue()));
        }
        assertThat(trials, is(3));
    }

    @Test
    void retryDelayLastsUntilNextTrial() {
        quarantinePart(quarantine, "crash");
        advance(20);
        assertThat(quarantine.getRetryMillis("crash"), is(40_000L));
    }

    @Test
    void manyLossesAtOneEndpointDoNotHideThoseAtOthers() {
        for (int i = 0; i < MANY; i++) {
            quarantine.onLost(List.of("crash"), i, "e0");
        }
        quarantinePart(quarantine, "crash");
        assertThat(quarantine.findQuarantined(List.of("crash")), is("crash"));
    }

    // -----------------------------------------------------------------------

    @Test
    void instanceThatStartsLaterLearnsOfQuarantine() {
        quarantinePart(quarantine, "crash");
        PartQuarantine started = create(false);
        started.apply(quarantine.getEvidence());
        assertThat(started.findQuarantined(List.of("crash")), is("crash"));
    }

    @Test
    void evidenceFromOtherInstanceIsPassedOnOnce() {
        quarantine.setObservationListener(shared::add);
        PartQuarantine other = create(false);
        quarantinePart(other, "crash");
        quarantine.apply(other.getEvidence());
        quarantine.apply(other.getEvidence());
        assertThat(shared.size(), is(1));
    }

    @Test
    void instanceThatKnowsAnswerTellsTheOneThatSuspects() {
        quarantine.onAnswered(List.of("session"), "e9");
        advance(2);
        quarantine.setObservationListener(shared::add);
        PartQuarantine other = create(false);
        quarantinePart(other, "session");
        quarantine.apply(other.getEvidence());
        other.apply(shared.get(0));
        assertThat(other.findQuarantined(List.of("session")), is(nullValue()));
    }

    // Instances that exchange evidence of different age forget it all the same.
    @Test
    void quarantineEndsTenMinutesAfterTheLastLoss() {
        quarantinePart(quarantine, "crash");
        PartQuarantine other = create(false);
        advance(590);
        other.apply(quarantine.getEvidence());
        advance(11);
        quarantine.apply(other.getEvidence());
        assertThat(quarantine.findQuarantined(List.of("crash")), is(nullValue()));
        assertThat(other.findQuarantined(List.of("crash")), is(nullValue()));
    }

    @Test
    void manyDifferentPartsDoNotDisplaceTheOneThatCrashes() {
        loseAt(quarantine, "e0", 1, "crash");
        loseAt(quarantine, "e1", 2, "crash");
        for (int i = 0; i < MANY; i++) {
            quarantine.onLost(List.of("part-" + i), i, "e0");
        }
        loseAt(quarantine, "e2", 3, "crash");
        assertThat(quarantine.findQuarantined(List.of("crash")), is("crash"));
        assertThat(quarantine.getEvidence().losses().size(), is(lessThanOrEqualTo(3)));
    }
}
