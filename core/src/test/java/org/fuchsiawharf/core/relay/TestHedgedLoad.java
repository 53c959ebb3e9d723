package org.fuchsiawharf.core.relay;

import java.util.SplittableRandom;

import org.fuchsiawharf.core.retry.HedgeLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Compares the same load with and without hedges. */
class TestHedgedLoad {
    private static final double SHARE = 0.05;
    private static final HedgeLimits LIMITS = new HedgeLimits(SHARE, SHARE);
    private static final int REQUESTS = 20_000;
    private static final long SEED = 11;

    private record Comparison(HedgedLoad.Result without, HedgedLoad.Result with) {}

    private static Comparison compare(HedgedLoad.Faults faults, double perSecond) {
        return new Comparison(
                HedgedLoad.play(faults, HedgeLimits.OFF, perSecond, REQUESTS, SEED),
                HedgedLoad.play(faults, LIMITS, perSecond, REQUESTS, SEED));
    }

    private static void assertWithinShare(Comparison result) {
        assertThat(result.with().hedges(), is(lessThanOrEqualTo((long) (SHARE * REQUESTS))));
        double maxWork = (1 + SHARE) * result.without().workSeconds();
        assertThat(result.with().workSeconds(), is(lessThanOrEqualTo(maxWork)));
        assertThat(result.with().failed(), is(lessThanOrEqualTo(result.without().failed())));
    }

    // One call in 100 takes 8 to 20 times the usual time, wherever it runs.
    private static double rarelySlow(String endpoint, long nowNanos, SplittableRandom random) {
        return random.nextInt(100) == 0 ? 8 + 12 * random.nextDouble() : 1;
    }

    private static double slowOnOneEndpoint(String endpoint, long nowNanos, SplittableRandom random) {
        return endpoint.equals("p2") ? 3 : 1;
    }

    private static double slowInPhases(String endpoint, long nowNanos, SplittableRandom random) {
        long offset = endpoint.hashCode() * 1_300_000_000L;
        return Math.floorMod(nowNanos + offset, 4_000_000_000L) < 600_000_000L ? 2.5 : 1;
    }

    // -----------------------------------------------------------------------

    // At 0.8 a second, an instance of many sees few samples and earns few hedges.
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 10, 60})
    void cutsSlowestResponsesWithinShareOfExtraWork(double perSecond) {
        Comparison result = compare(TestHedgedLoad::rarelySlow, perSecond);
        assertWithinShare(result);
        assertThat(result.with().p999(), is(lessThan(0.9 * result.without().p999())));
        assertThat(result.with().p50(), is(lessThanOrEqualTo(result.without().p50())));
    }

    // An endpoint that is always slow is avoided by selection; hedges must not keep it in use.
    @Test
    void doesNotSlowServiceWithSlowEndpoint() {
        Comparison result = compare(TestHedgedLoad::slowOnOneEndpoint, 60);
        assertWithinShare(result);
        assertThat(
                result.with().p999(),
                is(lessThanOrEqualTo(1.01 * result.without().p999())));
        assertThat(
                result.with().p50(),
                is(lessThanOrEqualTo(1.01 * result.without().p50())));
    }

    @Test
    void doesNotSlowServiceWithSlowPhases() {
        Comparison result = compare(TestHedgedLoad::slowInPhases, 60);
        assertWithinShare(result);
        assertThat(
                result.with().p999(),
                is(lessThanOrEqualTo(1.01 * result.without().p999())));
        assertThat(
                result.with().p50(),
                is(lessThanOrEqualTo(1.01 * result.without().p50())));
    }

    // Hedges that win against calls of an endpoint that never responds must not keep it from being ejected.
    @Test
    void doesNotSlowServiceWithHangingEndpoint() {
        HedgedLoad.Faults hanging = (endpoint, nowNanos, random) -> endpoint.equals("p2") ? 1e6 : 1;
        Comparison result = compare(hanging, 10);
        assertThat(result.with().hedges(), is(lessThanOrEqualTo((long) (SHARE * REQUESTS))));
        assertThat(result.with().failed(), is(lessThanOrEqualTo(result.without().failed())));
        assertThat(
                result.with().p999(),
                is(lessThanOrEqualTo(1.01 * result.without().p999())));
        assertThat(
                result.with().p50(),
                is(lessThanOrEqualTo(1.01 * result.without().p50())));
    }

    // Hedges into a service without free slots would make every call wait longer.
    @Test
    void hedgesDoNotSlowOverloadedService() {
        Comparison result = compare(TestHedgedLoad::rarelySlow, 400);
        assertWithinShare(result);
        assertThat(result.with().p50(), is(lessThanOrEqualTo(result.without().p50())));
    }
}
