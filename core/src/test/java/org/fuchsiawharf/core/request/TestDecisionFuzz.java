package org.fuchsiawharf.core.request;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Random interleavings against the oracle; broken rules and broken worlds must be noticed. */
class TestDecisionFuzz {
    private static final int SEEDS = 60;
    private static final int STEPS = 400;

    @Property(tries = 120, seed = "20261203")
    void keepsEveryPromise(@ForAll long seed, @ForAll @IntRange(min = 20, max = 800) int steps) {
        FuzzWorld world = new FuzzWorld(seed, SafetyRules.STRICT, FuzzWorld.Break.NONE);
        world.run(steps);
        assertThat("seed " + seed + " steps " + steps + "\n" + world.trace, world.oracle.violations, is(empty()));
    }

    @Test
    void keepsEveryPromiseForManyFixedSeeds() {
        int count = Integer.getInteger("fuzz.seeds", SEEDS);
        int steps = Integer.getInteger("fuzz.steps", STEPS);
        long first = Long.getLong("fuzz.seed", 1);
        for (long seed = first; seed < first + count; seed++) {
            FuzzWorld world = new FuzzWorld(seed, SafetyRules.STRICT, FuzzWorld.Break.NONE);
            world.run(steps);
            String replay = "-Dfuzz.seed=" + seed + " -Dfuzz.seeds=1 -Dfuzz.steps=" + steps + "\n";
            assertThat(replay + world.trace, world.oracle.violations, is(empty()));
        }
    }

    // -----------------------------------------------------------------------

    @Test
    void noticesARetryOfANonRepeatableCall() {
        assertNoticed(new SafetyRules() {
            @Override
            boolean mayCallAgain(StageSpec stage, boolean mayHaveRun) {
                return true;
            }
        });
    }

    @Test
    void noticesAnswersMatchedByRequestOnly() {
        assertNoticed(new SafetyRules() {
            @Override
            boolean isSameAttempt(AttemptId open, AttemptId answered) {
                return open.request() == answered.request();
            }
        });
    }

    @Test
    void noticesARevisionThatGoesBack() {
        assertNoticed(new SafetyRules() {
            @Override
            boolean isNewer(long inForce, long offered) {
                return true;
            }
        });
    }

    @Test
    void noticesNotRunSaidWhereAStageRan() {
        assertNoticed(new SafetyRules() {
            @Override
            Outcome getOutcome(boolean unsafeEffect, boolean anyEffect) {
                return unsafeEffect ? Outcome.UNKNOWN : Outcome.NOT_RUN;
            }
        });
    }

    @Test
    void noticesFailedSaidWhereANonRepeatableStageRan() {
        assertNoticed(new SafetyRules() {
            @Override
            Outcome getOutcome(boolean unsafeEffect, boolean anyEffect) {
                return anyEffect ? Outcome.FAILED : Outcome.NOT_RUN;
            }
        });
    }

    @Test
    void noticesTokensPassedOnTwice() {
        assertNoticed(new SafetyRules() {
            @Override
            boolean isRepeatedToken(long received, long offset) {
                return false;
            }
        });
    }

    @ParameterizedTest
    @EnumSource(
            value = FuzzWorld.Break.class,
            names = {"NONE"},
            mode = EnumSource.Mode.EXCLUDE)
    void noticesABrokenWorld(FuzzWorld.Break broken) {
        assertThat(countNoticed(SafetyRules.STRICT, broken), is(greaterThan(0)));
    }

    private static void assertNoticed(SafetyRules rules) {
        assertThat(countNoticed(rules, FuzzWorld.Break.NONE), is(greaterThan(0)));
    }

    private static int countNoticed(SafetyRules rules, FuzzWorld.Break broken) {
        int noticed = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FuzzWorld world = new FuzzWorld(seed, rules, broken);
            world.run(STEPS);
            List<String> violations = world.oracle.violations;
            noticed += violations.isEmpty() ? 0 : 1;
        }
        return noticed;
    }
}
