package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.limits.AdaptiveConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class TestExpectedCompletionSelector {
    private static final long PREFIX = 0x5eedL << 40;
    private final EndpointTable table = newTable("a");
    private final ExpectedCompletionSelector selector = newSelector(1);

    private static EndpointTable newTable(String zone) {
        EndpointTable table = new EndpointTable(zone, () -> new AdaptiveConcurrencyLimit(0.25));
        List<EndpointStatus> statuses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String endpointZone = List.of("a", "b", "c").get(i % 3);
            statuses.add(new EndpointStatus(new Endpoint("llm-" + i, "llm", endpointZone, "127.0.0.1", 1 + i), false));
        }
        table.update(statuses);
        return table;
    }

    private static ExpectedCompletionSelector newSelector(long seed) {
        return new ExpectedCompletionSelector(new SplittableRandom(seed), 2e6, 20e6);
    }

    private EndpointState select(long prefix) {
        return Objects.requireNonNull(selector.select(table.getPool("llm"), prefix, null, 0));
    }

    @Test
    void selectsSameEndpointForPrefixOnEveryInstance() {
        String first = select(PREFIX).getEndpoint().name();
        for (String zone : List.of("a", "b", "c")) {
            EndpointTable other = newTable(zone);
            for (long seed = 1; seed <= 20; seed++) {
                EndpointState state = newSelector(seed).select(other.getPool("llm"), PREFIX, null, 0);
                assertThat(Objects.requireNonNull(state).getEndpoint().name(), is(first));
            }
        }
    }

    @Test
    void reassignsPrefixWhenItsEndpointLeaves() {
        EndpointState first = select(PREFIX);
        first.onLeaving();
        EndpointState next = select(PREFIX);
        assertThat(next, is(not(first)));
        assertThat(select(PREFIX), is(next));
    }

    @Test
    void avoidsFailedEndpointUnlessNoOtherIsAvailable() {
        EndpointState failed = select(PREFIX);
        for (int i = 0; i < 20; i++) {
            assertThat(selector.select(table.getPool("llm"), PREFIX, failed, 0), is(not(failed)));
        }
        table.getPool("llm").getEndpoints().stream().filter(s -> s != failed).forEach(EndpointState::onLeaving);
        assertThat(selector.select(table.getPool("llm"), PREFIX, failed, 0), is(failed));
    }

    @Test
    void selectsNoneWhenEveryEndpointIsFull() {
        for (EndpointState state : table.getPool("llm").getEndpoints()) {
            for (int i = 0; i < 32; i++) {
                state.onSent();
            }
        }
        assertThat(selector.select(table.getPool("llm"), PREFIX, null, 0), is(nullValue()));
    }
}
