package org.fuchsiawharf.core.routing;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestEndpointLoad {
    private static final long MILLI = 1_000_000L;

    private final EndpointLoad load = new EndpointLoad();

    @Test
    void endpointThatStatesNothingIsExpectedToBeAsItsService() {
        assertThat(load.getDurationRatio(1.3, 0), is(1.3));
        assertThat(load.getWaiting(2.5, 0, 0), is(2.5));
    }

    // An endpoint that was slow for a moment was avoided long after.
    @Test
    void momentarySlownessIsForgotten() {
        for (int i = 0; i < 20; i++) {
            load.onDuration(0.7, i * MILLI);
        }
        load.onDuration(1.75, 100 * MILLI);
        assertThat(load.getDurationRatio(1, 100 * MILLI), is(1.75));
        assertThat(load.getDurationRatio(1, 1_000 * MILLI), is(lessThan(0.85)));
    }

    // An endpoint whose first statement fell into a slow moment was taken for a slow one.
    @Test
    void fasterStatementsAreBelievedSoon() {
        load.onDuration(1.75, 0);
        for (int i = 1; i <= 3; i++) {
            load.onDuration(0.7, i * MILLI);
        }
        assertThat(load.getDurationRatio(1, 5_000 * MILLI), is(lessThan(0.85)));
    }

    // An endpoint that was met in a slow moment was never tried again.
    @Test
    void usualDurationIsForgottenAfterAMinute() {
        load.onDuration(2.5, 0);
        assertThat(load.getDurationRatio(1, 5_000 * MILLI), is(closeTo(2.4, 0.1)));
        assertThat(load.getDurationRatio(1, 60_000 * MILLI), is(1.0));
    }

    @Test
    void waitingCallsApproachMeanOfServiceAsTheyAge() {
        load.onCounts(5, 8, 1, 0);
        assertThat(load.getWaiting(2, 1, 0), is(8.0));
        assertThat(load.getWaiting(2, 1, 1_000 * MILLI), is(closeTo(5, 0.1)));
        assertThat(load.getWaiting(2, 1, 60_000 * MILLI), is(2.0));
    }

    // Calls sent after the statement were not counted, so that an instance sent all calls to the same endpoint.
    @Test
    void ownCallsSinceStatementWait() {
        load.onCounts(5, 0, 2, 0);
        assertThat(load.getWaiting(0, 5, 0), is(3.0));
        assertThat(load.getWaiting(0, 1, 0), is(0.0));
    }

    @Test
    void oddRatiosAreNotPlausible() {
        assertThat(EndpointLoad.isPlausible(Double.NaN), is(false));
        assertThat(EndpointLoad.isPlausible(-1), is(false));
        assertThat(EndpointLoad.isPlausible(0), is(false));
        assertThat(EndpointLoad.isPlausible(1e9), is(false));
        assertThat(EndpointLoad.isPlausible(4.25), is(true));
    }
}
