package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.fuchsiawharf.core.log.DecisionLog;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class TestSlotIdleTimes {
    private static final long RELEASE_DELAY_MILLIS = 25;
    private static final long LONG_DEADLINE_MILLIS = 60_000;

    private final SlotIdleTimes times = new SlotIdleTimes();

    @Test
    void countsOnlyTimeInWhichPiecesAreQueued() {
        times.onCallEnded("e", 10);
        times.onQueueChanged(false, 30);
        times.onQueueChanged(true, 35);
        times.onQueueChanged(false, 50);
        assertThat(times.onCallStarted("e", 57), is(12L));
    }

    @Test
    void measuresEachSlotOfEndpoint() {
        times.onQueueChanged(false, 0);
        times.onCallEnded("e", 10);
        times.onCallEnded("e", 15);
        assertThat(times.onCallStarted("e", 20), is(10L));
        assertThat(times.onCallStarted("e", 20), is(5L));
    }

    @Test
    void isZeroForFirstCallAndIfNothingWasQueued() {
        assertThat(times.onCallStarted("e", 10), is(0L));
        times.onCallEnded("e", 20);
        assertThat(times.onCallStarted("e", 90), is(0L));
    }

    @Test
    void poolLogsIdleTimeOfSlotWhilePiecesWaitForResultSpace() {
        List<Object> idleMillis = new ArrayList<>();
        DecisionLog log = (event, fields) -> {
            if (event.equals("stage.answered")) {
                idleMillis.add(fields[Arrays.asList(fields).indexOf("idle_ms") + 1]);
            }
        };
        PoolFixture fixture = new PoolFixture(log, 4, 3, "a");
        fixture.submit("r", 5, PoolFixture.termsOfSize(1_000_000));
        fixture.calls.last().answerProduced();
        fixture.advance(75);
        fixture.pool.release(fixture.results.stream().map(PieceResult::handle).toList());
        fixture.advance(100);
        fixture.calls.last().answerProduced();
        fixture.advance(500);
        fixture.submit("later", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.calls.last().answerProduced();
        assertThat(idleMillis, contains(0L, 75L + RELEASE_DELAY_MILLIS, 0L));
    }
}
