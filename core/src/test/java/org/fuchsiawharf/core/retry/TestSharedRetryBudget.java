package org.fuchsiawharf.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TestSharedRetryBudget {
    private static final long SECOND = 1_000_000_000L;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 58;
    private static final long WINDOW = 10 * SECOND;

    private long now;
    private int liveInstances = 9;

    private SharedRetryBudget newBudget() {
        return new SharedRetryBudget(RATIO, ALLOWANCE, WINDOW, () -> liveInstances, () -> now);
    }

    @Test
    void keepsRetriesOfAllInstancesWithinBudgetInEveryWindow() {
        SplittableRandom random = new SplittableRandom(7);
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            budgets.add(newBudget());
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 60_000; step++) {
            now += SECOND / 1_000;
            if (step % 20_000 == 19_999) {
                // Replaces an instance by a new one. From the first replacement on, all instances count 8 live ones.
                budgets.set(random.nextInt(budgets.size()), newBudget());
                liveInstances = 8;
            }
            SharedRetryBudget budget = budgets.get(random.nextInt(budgets.size()));
            if (random.nextInt(20) == 0) {
                budget.onRequest("s");
                requests.add(now);
            }
            if (budget.trySpend("s")) {
                retries.add(now);
            }
        }
        for (long end = WINDOW; end <= now; end += SECOND / 10) {
            long from = end - WINDOW;
            long to = end;
            long retryCount = retries.stream().filter(t -> t > from && t <= to).count();
            long requestCount =
                    requests.stream().filter(t -> t > from && t <= to).count();
            assertThat((double) retryCount, is(lessThanOrEqualTo(RATIO * requestCount + ALLOWANCE)));
        }
        assertThat(retries.size(), is(greaterThan(200)));
    }

    @Test
    void countsEachServiceSeparately() {
        liveInstances = 1;
        SharedRetryBudget budget = newBudget();
        while (budget.trySpend("a")) {
            now++;
        }
        assertThat(budget.trySpend("b"), is(true));
    }

    @Test
    void allowsRetriesAgainAfterOneWindow() {
        SharedRetryBudget budget = newBudget();
        while (budget.trySpend("a")) {
            now++;
        }
        now += WINDOW + SECOND + 1;
        assertThat(budget.trySpend("a"), is(true));
    }
}
