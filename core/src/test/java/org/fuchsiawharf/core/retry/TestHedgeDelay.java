package org.fuchsiawharf.core.retry;

import java.util.Objects;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestHedgeDelay {
    private static final long MILLI = 1_000_000L;

    private long now;
    private final HedgeDelay delay = new HedgeDelay(new HedgeLimits(0.05, 0.05), () -> now);

    private void addSamples(int count, long millis) {
        for (int i = 0; i < count; i++) {
            delay.onEnded("s", millis * MILLI);
        }
    }

    private HedgeDelay.Estimate estimate() {
        return Objects.requireNonNull(delay.estimate("s"));
    }

    @Test
    void hasNoDelayWithTooFewSamples() {
        addSamples(HedgeDelay.MIN_SAMPLES - 1, 40);
        assertThat(delay.estimate("s"), is(nullValue()));
        assertThat(delay.estimate("t"), is(nullValue()));
    }

    // With few samples a lower quantile would hedge more calls than the share allows.
    @Test
    void delayIsAboveLargestOfFewSamples() {
        addSamples(HedgeDelay.MIN_SAMPLES - 1, 40);
        addSamples(1, 300);
        assertThat(estimate(), is(new HedgeDelay.Estimate(375 * MILLI, 40 * MILLI, HedgeDelay.MIN_SAMPLES)));
    }

    @Test
    void delayIsAboveHighQuantileOfManySamples() {
        addSamples(114, 40);
        addSamples(6, 300);
        assertThat(estimate().delayNanos(), is(375 * MILLI));
        addSamples(8, 40);
        assertThat(estimate().delayNanos(), is(50 * MILLI));
    }

    // Samples of the time before a change of the service would fix the delay for long at a low rate.
    @Test
    void forgetsOldSamples() {
        addSamples(100, 40);
        now += HedgeDelay.MAX_AGE_NANOS + 1;
        assertThat(delay.estimate("s"), is(nullValue()));
        addSamples(HedgeDelay.MIN_SAMPLES, 80);
        assertThat(estimate().delayNanos(), is(100 * MILLI));
    }

    @Test
    void keepsOnlyLatestSamples() {
        addSamples(HedgeDelay.MAX_SAMPLES, 300);
        addSamples(HedgeDelay.MAX_SAMPLES, 40);
        assertThat(estimate(), is(new HedgeDelay.Estimate(50 * MILLI, 40 * MILLI, HedgeDelay.MAX_SAMPLES)));
    }
}
