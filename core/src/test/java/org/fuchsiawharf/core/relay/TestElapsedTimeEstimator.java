package org.fuchsiawharf.core.relay;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestElapsedTimeEstimator {
    private static final long OBJECTIVE = 2_000;

    private long nowNanos;
    private final ElapsedTimeEstimator estimator = new ElapsedTimeEstimator(() -> nowNanos);
    private final SplittableRandom random = new SplittableRandom(5);

    @Test
    void callersWithDifferentFirstDeadlinesCountAsNew() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(estimator.estimateMillis(6_800 + random.nextInt(1_200), OBJECTIVE), is(0L));
        }
    }

    @Test
    void callersWithDifferentFirstDeadlinesCountAsNewWhileHalfOfThemReturn() {
        for (int i = 0; i < 1_000; i++) {
            long firstMillis = 6_800 + random.nextInt(1_200);
            estimator.estimateMillis(firstMillis, OBJECTIVE);
            estimator.estimateMillis(firstMillis - 150 - random.nextInt(800), OBJECTIVE);
        }
        assertThat(estimator.estimateMillis(6_900, OBJECTIVE), is(0L));
    }

    @Test
    void equalFirstDeadlinesShowTimeWaitedAlthoughMostCallersReturn() {
        for (int i = 0; i < 100; i++) {
            estimator.estimateMillis(8_000, OBJECTIVE);
            estimator.estimateMillis(8_000 - 150 - random.nextInt(800), OBJECTIVE);
        }
        assertThat(estimator.estimateMillis(7_600, OBJECTIVE), is(400L));
        assertThat(estimator.estimateMillis(8_000, OBJECTIVE), is(0L));
    }

    @Test
    void callerWithoutDeadlineCountsAsNew() {
        for (int i = 0; i < 100; i++) {
            estimator.estimateMillis(8_000, OBJECTIVE);
        }
        assertThat(estimator.estimateMillis(0, OBJECTIVE), is(0L));
    }

    @Test
    void returningCallersAreRecognizedAlthoughFirstDeadlinesDiffer() {
        for (int i = 0; i < 64; i++) {
            estimator.estimateMillis(17_100 + random.nextInt(2_900), OBJECTIVE);
        }
        int recognized = 0;
        for (int i = 0; i < 1_000; i++) {
            estimator.onRefused();
            long delayMillis = estimator.getUnrecognizedMillis(OBJECTIVE);
            assertThat(delayMillis, is(both(greaterThanOrEqualTo(OBJECTIVE)).and(lessThan(3_000L))));
            long firstMillis = 17_400 + random.nextInt(2_600);
            assertThat(estimator.estimateMillis(firstMillis, OBJECTIVE), is(0L));
            long returningMillis = 17_100 + random.nextInt(2_900) - 3_000;
            recognized += estimator.estimateMillis(returningMillis, OBJECTIVE) > 0 ? 1 : 0;
        }
        assertThat(recognized, is(greaterThan(990)));
    }
}
