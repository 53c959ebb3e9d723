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

/** Checks random interleavings with the oracle, which must also detect broken rules and simulation faults. */
class TestDecisionFuzz {
    private static final int SEEDS = 60;
    private static final int STEPS = 400;

    @Property(tries = 120, seed = "20261203")
    void satisfiesGuaranteesForRandomSeeds(@ForAll long seed, @ForAll @IntRange(min = 20, max = 800) int steps) {
        FuzzSimulation simulation = new FuzzSimulation(seed, SafetyRules.STRICT, FuzzSimulation.Fault.NONE);
        simulation.run(steps);
        assertThat(
                "seed " + seed + " steps " + steps + "\n" + simulation.trace,
                simulation.oracle.violations,
                is(empty()));
    }

    @Test
    void satisfiesGuaranteesForFixedSeeds() {
        int count = Integer.getInteger("fuzz.seeds", SEEDS);
        int steps = Integer.getInteger("fuzz.steps", STEPS);
        long first = Long.getLong("fuzz.seed", 1);
        for (long seed = first; seed < first + count; seed++) {
            FuzzSimulation simulation = new FuzzSimulation(seed, SafetyRules.STRICT, FuzzSimulation.Fault.NONE);
            simulation.run(steps);
            String replay = "-Dfuzz.seed=" + seed + " -Dfuzz.seeds=1 -Dfuzz.steps=" + steps + "\n";
            assertThat(replay + simulation.trace, simulation.oracle.violations, is(empty()));
        }
    }

    // -----------------------------------------------------------------------

    @Test
    void detectsRetryOfNonRepeatableCall() {
        assertDetected(new SafetyRules() {
            @Override
            boolean mayRepeatCall(StageSpec stage, boolean mayHaveRun) {
                return true;
            }
        });
    }

    @Test
    void detectsResponsesMatchedOnlyByRequest() {
        assertDetected(new SafetyRules() {
            @Override
            boolean isSameAttempt(AttemptId open, AttemptId echoed) {
                return open.request() == echoed.request();
            }
        });
    }

    @Test
    void detectsDecreasingRevision() {
        assertDetected(new SafetyRules() {
            @Override
            boolean isNewer(long inForce, long offered) {
                return true;
            }
        });
    }

    @Test
    void detectsNotRunOutcomeAfterStageRan() {
        assertDetected(new SafetyRules() {
            @Override
            Outcome getOutcome(boolean nonRepeatableEffect, boolean anyEffect) {
                return nonRepeatableEffect ? Outcome.UNKNOWN : Outcome.NOT_RUN;
            }
        });
    }

    @Test
    void detectsFailedOutcomeAfterNonRepeatableStageRan() {
        assertDetected(new SafetyRules() {
            @Override
            Outcome getOutcome(boolean nonRepeatableEffect, boolean anyEffect) {
                return anyEffect ? Outcome.FAILED : Outcome.NOT_RUN;
            }
        });
    }

    @Test
    void detectsDuplicateTokens() {
        assertDetected(new SafetyRules() {
            @Override
            boolean isDuplicateToken(long received, long offset) {
                return false;
            }
        });
    }

    @ParameterizedTest
    @EnumSource(
            value = FuzzSimulation.Fault.class,
            names = {"NONE"},
            mode = EnumSource.Mode.EXCLUDE)
    void detectsSimulationFault(FuzzSimulation.Fault fault) {
        assertThat(countDetected(SafetyRules.STRICT, fault), is(greaterThan(0)));
    }

    private static void assertDetected(SafetyRules rules) {
        assertThat(countDetected(rules, FuzzSimulation.Fault.NONE), is(greaterThan(0)));
    }

    private static int countDetected(SafetyRules rules, FuzzSimulation.Fault fault) {
        int detected = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FuzzSimulation simulation = new FuzzSimulation(seed, rules, fault);
            simulation.run(STEPS);
            List<String> violations = simulation.oracle.violations;
            detected += violations.isEmpty() ? 0 : 1;
        }
        return detected;
    }
}
