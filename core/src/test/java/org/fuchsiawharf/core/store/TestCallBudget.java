package org.fuchsiawharf.core.store;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestCallBudget {
    private static final long SECOND = 1_000_000_000L;

    private long now;
    private final CallBudget budget = new CallBudget(() -> now, 4);

    @Test
    void allowsOneSecondOfCallsAtOnceAndThenLimitsRate() {
        for (int i = 0; i < 4; i++) {
            assertThat(budget.trySpend(), is(true));
        }
        assertThat(budget.trySpend(), is(false));
        now += SECOND / 4;
        assertThat(budget.trySpend(), is(true));
        assertThat(budget.trySpend(), is(false));
    }

    @Test
    void accruesNoMoreThanOneSecondOfCalls() {
        now += 100 * SECOND;
        for (int i = 0; i < 4; i++) {
            assertThat(budget.trySpend(), is(true));
        }
        assertThat(budget.trySpend(), is(false));
    }

    @Test
    void returnsWaitForCallsBeyondRate() {
        for (int i = 0; i < 4; i++) {
            assertThat(budget.reserve(), is(0L));
        }
        assertThat(budget.reserve(), is(SECOND / 4));
        assertThat(budget.reserve(), is(SECOND / 2));
        now += SECOND / 2;
        assertThat(budget.reserve(), is(SECOND / 4));
    }
}
