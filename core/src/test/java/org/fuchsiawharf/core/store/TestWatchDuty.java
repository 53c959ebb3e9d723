package org.fuchsiawharf.core.store;

import java.util.List;

import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestWatchDuty {
    private static final long SECOND_NANOS = 1_000_000_000L;
    /** The shortest time for which a leaving endpoint drains, by the users' pages. */
    private static final long DRAIN_NANOS = 2 * SECOND_NANOS;

    private final TimerService timers = new TimerService(0);
    private boolean watcher;
    private final WatchDuty duty = new WatchDuty(() -> watcher, timers);

    @Test
    void watcherPollsAlsoWhileOthersReport() {
        duty.onConfirmed(0);
        assertThat(duty.isDue(), is(false));
        watcher = true;
        assertThat(duty.isDue(), is(true));
    }

    // A follower of watchers that stood still learned of a draining endpoint too late.
    @Test
    void pollsBeforeDrainingEndpointStopsWhenWatchersFallSilent() {
        timers.advance(10 * SECOND_NANOS);
        duty.onConfirmed(0);
        timers.advance(10 * SECOND_NANOS + WatchDuty.SILENCE_NANOS);
        assertThat(duty.isDue(), is(false));
        timers.advance(10 * SECOND_NANOS + WatchDuty.SILENCE_NANOS + 1);
        assertThat(duty.isDue(), is(true));
        assertThat(WatchDuty.SILENCE_NANOS, is(lessThan(DRAIN_NANOS)));
    }

    // Followers took any report for a recent one, and did not poll while all reports were late.
    @Test
    void lateReportsDelayNoPoll() {
        timers.advance(10 * SECOND_NANOS);
        for (int second = 11; second < 20; second++) {
            timers.advance(second * SECOND_NANOS);
            duty.onConfirmed(WatchDuty.MAX_REPORT_AGE_NANOS + 1);
            assertThat(duty.isDue(), is(true));
        }
    }

    @Test
    void silenceIsCountedFromTheReportedResponse() {
        timers.advance(10 * SECOND_NANOS);
        duty.onConfirmed(WatchDuty.MAX_REPORT_AGE_NANOS);
        timers.advance(10 * SECOND_NANOS + WatchDuty.SILENCE_NANOS - WatchDuty.MAX_REPORT_AGE_NANOS);
        assertThat(duty.isDue(), is(false));
        timers.advance(10 * SECOND_NANOS + WatchDuty.SILENCE_NANOS - WatchDuty.MAX_REPORT_AGE_NANOS + 1);
        assertThat(duty.isDue(), is(true));
    }

    @Test
    void pollsForFollowersWithoutBeingSelected() {
        duty.onFollowed("b");
        assertThat(duty.isDue(), is(true));
        assertThat(duty.getFollowers(), is(List.of("b")));
        timers.advance(5 * SECOND_NANOS);
        duty.onConfirmed(0);
        assertThat(duty.getFollowers(), is(empty()));
        assertThat(duty.isDue(), is(false));
    }
}
