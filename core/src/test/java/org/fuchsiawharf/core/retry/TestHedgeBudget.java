package org.fuchsiawharf.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TestHedgeBudget {
    private static final long SECOND = 1_000_000_000L;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 176;
    private static final int INSTANCES = 75;

    private long now;
    private int knownInstances = INSTANCES;

    private SharedRetryBudget newRetryBudget(double allowance) {
        return new SharedRetryBudget(RATIO, allowance, 10 * SECOND, () -> knownInstances, () -> now);
    }

    private static void call(HedgeBudget budget, SharedRetryBudget retries, String service) {
        retries.onRequest(service);
        budget.onCall(service);
    }

    // -----------------------------------------------------------------------

    // Hedges of many instances, each asking for as many as it can, would otherwise add up to more than the share.
    @Test
    void hedgesOfAllInstancesStayWithinShareWithoutCommunication() {
        SplittableRandom random = new SplittableRandom(5);
        List<SharedRetryBudget> retries = new ArrayList<>();
        List<HedgeBudget> budgets = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            retries.add(newRetryBudget(ALLOWANCE));
            budgets.add(new HedgeBudget(new HedgeLimits(0.05, 0.05), retries.get(i)));
        }
        int hedges = 0;
        int calls = 0;
        for (int step = 0; step < 50_000; step++) {
            now += SECOND / 50;
            int index = random.nextInt(INSTANCES);
            call(budgets.get(index), retries.get(index), "s");
            calls++;
            hedges += budgets.get(index).trySpend("s") == HedgeBudget.Result.GRANTED ? 1 : 0;
            assertThat((double) hedges, is(lessThanOrEqualTo(0.05 * calls)));
        }
        assertThat((double) hedges, is(greaterThan(0.03 * calls)));
    }

    // An instance that loses sight of the others must not take the allowance of all of them for itself.
    @Test
    void instanceThatHearsNoOtherUsesOnlyItsEqualPart() {
        SharedRetryBudget retries = newRetryBudget(ALLOWANCE);
        retries.onRequest("s");
        knownInstances = 1;
        now += 60 * SECOND;
        int spent = 0;
        while (retries.trySpendOfFirstHalf("s")) {
            spent++;
        }
        assertThat((double) spent, is(lessThan(ALLOWANCE / INSTANCES)));
    }

    @Test
    void hedgesLeaveHalfOfBudgetToRetries() {
        SharedRetryBudget retries = newRetryBudget(40 * INSTANCES);
        HedgeBudget budget = new HedgeBudget(new HedgeLimits(0.2, 0.2), retries);
        int hedges = 0;
        for (int i = 0; i < 200; i++) {
            call(budget, retries, "s");
            hedges += budget.trySpend("s") == HedgeBudget.Result.GRANTED ? 1 : 0;
        }
        int left = 0;
        while (retries.trySpend("s")) {
            left++;
        }
        assertThat(hedges, is(greaterThan(0)));
        assertThat(left, is(greaterThan(hedges - 1)));
    }

    @Test
    void hedgesOfOneServiceStayWithinShareOfAllCalls() {
        SharedRetryBudget retries = newRetryBudget(1e6);
        HedgeBudget budget = new HedgeBudget(new HedgeLimits(0.2, 0.01), retries);
        int hedges = 0;
        for (int i = 0; i < 1_000; i++) {
            call(budget, retries, i % 2 == 0 ? "s" : "t");
            hedges += budget.trySpend("s") == HedgeBudget.Result.GRANTED ? 1 : 0;
        }
        assertThat(hedges, is(lessThanOrEqualTo(10)));
        assertThat(budget.trySpend("s"), is(HedgeBudget.Result.FLEET_SHARE_SPENT));
    }

    @Test
    void shareOfServiceIsNotUsedByAnother() {
        SharedRetryBudget retries = newRetryBudget(1e6);
        HedgeBudget budget = new HedgeBudget(new HedgeLimits(0.1, 0.2), retries);
        for (int i = 0; i < 100; i++) {
            call(budget, retries, "s");
        }
        assertThat(budget.trySpend("t"), is(HedgeBudget.Result.SHARE_SPENT));
        assertThat(budget.trySpend("s"), is(HedgeBudget.Result.GRANTED));
    }

    @Test
    void rejectsSharesOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> new HedgeLimits(0.21, 0));
        assertThrows(IllegalArgumentException.class, () -> new HedgeLimits(0.1, -0.1));
        assertThrows(IllegalArgumentException.class, () -> new HedgeLimits(Double.NaN, 0));
    }
}
