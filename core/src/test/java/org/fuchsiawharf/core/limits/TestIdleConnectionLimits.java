package org.fuchsiawharf.core.limits;

import java.util.List;

import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TestIdleConnectionLimits {
    private static IdleConnectionLimits limits(int maxConnections, int instances) {
        IdleConnectionLimits limits = new IdleConnectionLimits(() -> instances);
        limits.setServices(List.of(new ServiceSpec("s", null, maxConnections)));
        return limits;
    }

    @ParameterizedTest
    @CsvSource({"100, 60", "52, 9", "590, 77", "1, 1", "2147483647, 360"})
    void idleConnectionsOfAllInstancesLeaveHalfOfEndpointToRequests(int maxConnections, int instances) {
        long idle = (long) limits(maxConnections, instances).getLimit("s") * instances;
        assertThat(idle, is(lessThanOrEqualTo(maxConnections / 2L)));
    }

    @Test
    void smallFleetKeepsConnections() {
        assertThat(limits(52, 9).getLimit("s"), is(greaterThan(0)));
    }

    @Test
    void unknownServiceKeepsNoConnections() {
        assertThat(limits(52, 9).getLimit("other"), is(0));
    }
}
