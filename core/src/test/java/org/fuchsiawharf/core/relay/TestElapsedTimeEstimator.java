package org.fuchsiawharf.core.relay;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestElapsedTimeEstimator {
    private final ElapsedTimeEstimator estimator = new ElapsedTimeEstimator();
    private final SplittableRandom random = new SplittableRandom(5);

    @Test
    void callersWithDifferentFirstDeadlinesCountAsNew() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(estimator.estimateMillis(6_800 + random.nextInt(1_200)), is(0L));
        }
    }

    @Test
    void callersWithDifferentFirstDeadlinesCountAsNewWhileHalfOfThemReturn() {
        for (int i = 0; i < 1_000; i++) {
            long firstMillis = 6_800 + random.nextInt(1_200);
            estimator.estimateMillis(firstMillis);
            estimator.estimateMillis(firstMillis - 150 - random.nextInt(800));
        }
        assertThat(estimator.estimateMillis(6_900), is(0L));
    }

    @Test
    void equalFirstDeadlinesShowTimeWaitedAlthoughMostCallersReturn() {
        for (int i = 0; i < 100; i++) {
            estimator.estimateMillis(8_000);
            estimator.estimateMillis(8_000 - 150 - random.nextInt(800));
        }
        assertThat(estimator.estimateMillis(7_600), is(400L));
        assertThat(estimator.estimateMillis(8_000), is(0L));
    }

    @Test
    void callerWithoutDeadlineCountsAsNew() {
        for (int i = 0; i < 100; i++) {
            estimator.estimateMillis(8_000);
        }
        assertThat(estimator.estimateMillis(0), is(0L));
    }
}
