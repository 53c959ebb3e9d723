package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.relay.RequestAdmission.Decision;
import org.fuchsiawharf.core.relay.RequestAdmission.RequestEstimate;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestObjectiveAdmission {
    private static final double OBJECTIVE = 1_000;
    private static final double DISTANT_DEADLINE = 15_000;

    private final RequestAdmission admission = new ObjectiveAdmission();

    private Decision decide(double waitMillis, double doneMillis, double remainingObjectiveMillis) {
        return decide(waitMillis, doneMillis, remainingObjectiveMillis, true);
    }

    private Decision decide(
            double waitMillis, double doneMillis, double remainingObjectiveMillis, boolean elapsedTimeKnown) {
        return admission.decide(new RequestEstimate(
                2,
                waitMillis,
                doneMillis,
                OBJECTIVE,
                remainingObjectiveMillis,
                DISTANT_DEADLINE,
                elapsedTimeKnown ? 0 : (long) OBJECTIVE));
    }

    @Test
    void admitsLateRequestWhenQueueIsEmpty() {
        assertThat(decide(0, 3_000, OBJECTIVE).admitted(), is(true));
    }

    @Test
    void rejectsWithoutRetryDelayWhenDeadlineIsUnreachable() {
        assertThat(decide(0, DISTANT_DEADLINE + 1, OBJECTIVE), is(Decision.reject(0)));
    }

    @Test
    void rejectsRequestThatQueueMakesLate() {
        assertThat(decide(300, 900, OBJECTIVE).admitted(), is(true));
        assertThat(decide(700, 1_300, OBJECTIVE).admitted(), is(false));
    }

    @Test
    void admitsLateRequestOnlyToQueueThatNewRequestCouldJoin() {
        assertThat(decide(200, 800, -500).admitted(), is(true));
        assertThat(decide(2_000, 2_600, -500).admitted(), is(false));
    }

    @Test
    void callerThatCannotBeRecognizedReturnsAfterItsObjective() {
        assertThat(decide(600, 1_000, OBJECTIVE, true).retryAfterMillis(), is(lessThan((long) OBJECTIVE)));
        assertThat(decide(600, 1_000, OBJECTIVE, false).retryAfterMillis(), is(greaterThanOrEqualTo((long) OBJECTIVE)));
    }

    @Test
    void retryDelayGrowsWithQueue() {
        long shorter = decide(600, 1_000, OBJECTIVE).retryAfterMillis();
        long longer = decide(1_000, 1_600, OBJECTIVE).retryAfterMillis();
        assertThat(shorter, is(greaterThan(0L)));
        assertThat(longer, is(greaterThan(shorter)));
    }
}
