package org.fuchsiawharf.core.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ServicePool;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestOutlierEjection {
    private static final long MILLI = 1_000_000;
    private final OutlierEjection health = new OutlierEjection();
    private final EndpointTable table = new EndpointTable("a", NoConcurrencyLimit::new);

    private ServicePool newPool(String... zones) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (int i = 0; i < zones.length; i++) {
            statuses.add(new EndpointStatus(new Endpoint("llm-" + i, "llm", zones[i], "127.0.0.1", 1 + i), false));
        }
        table.update(statuses);
        return table.getPool("llm");
    }

    private EndpointState state(int index) {
        return Objects.requireNonNull(table.getEndpoint("llm-" + index));
    }

    private void recordTokens(ServicePool pool, int index, int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            health.onToken(pool, state(index), intervalMillis * MILLI, 0);
        }
    }

    @Test
    void ejectsEndpointWhoseTokenIntervalsFarExceedMedian() {
        ServicePool pool = newPool("a", "a", "a", "a", "a", "a");
        for (int i = 0; i < 5; i++) {
            recordTokens(pool, i, 10, 15);
        }
        recordTokens(pool, 5, 6, 150);
        assertThat(state(5).isEjected(), is(true));
    }

    @Test
    void keepsEndpointThatIsModeratelySlower() {
        ServicePool pool = newPool("a", "a", "a");
        recordTokens(pool, 0, 10, 10);
        recordTokens(pool, 1, 10, 10);
        recordTokens(pool, 2, 10, 20);
        assertThat(state(2).isEjected(), is(false));
    }

    @Test
    void ejectsAtMostOneThirdOfPool() {
        ServicePool pool = newPool("a", "a", "a", "a", "a", "a");
        for (int i = 0; i < 6; i++) {
            health.onFailure(pool, state(i), CallFailure.NOT_SENT, 0);
        }
        assertThat(pool.getEndpoints().stream().filter(EndpointState::isEjected).count(), is(2L));
    }

    @Test
    void ejectsAllEndpointsOfOtherZonesDuringPartition() {
        ServicePool pool = newPool("a", "a", "b", "b", "c", "c");
        for (int i = 2; i < 6; i++) {
            health.onFailure(pool, state(i), CallFailure.NOT_SENT, 0);
        }
        assertThat(pool.getEndpoints().stream().filter(EndpointState::isEjected).count(), is(4L));
        assertThat(pool.isServing(), is(true));
    }

    @Test
    void doesNotEjectForRefusedCalls() {
        ServicePool pool = newPool("a", "a", "a");
        for (int i = 0; i < 20; i++) {
            health.onFailure(pool, state(0), CallFailure.REFUSED, 0);
        }
        assertThat(state(0).isEjected(), is(false));
    }

    @Test
    void readmitsWithSlowStartAfterSuccessfulProbe() {
        ServicePool pool = newPool("a", "a", "a", "a");
        for (int i = 1; i < 4; i++) {
            recordTokens(pool, i, 10, 15);
        }
        health.onFailure(pool, state(0), CallFailure.NOT_SENT, 0);
        health.allowProbes(pool, 1_000 * MILLI);
        assertThat(state(0).isUsable(), is(false));
        health.allowProbes(pool, 2_000 * MILLI);
        assertThat(state(0).isUsable(), is(true));
        for (int i = 0; i < 6; i++) {
            health.onToken(pool, state(0), 15 * MILLI, 2_100 * MILLI);
        }
        assertThat(state(0).isEjected(), is(false));
        assertThat(state(0).getReadmittedNanos(), is(2_100 * MILLI));
    }
}
