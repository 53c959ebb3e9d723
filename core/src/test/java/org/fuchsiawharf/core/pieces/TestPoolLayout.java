package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/** Tests into which pools a service of up to 232 pieces a second for each endpoint is divided. */
class TestPoolLayout {
    private static final String SERVICE = "rerank";
    private static final PieceService SPEC = new PieceService(1, 2, 86, 200, 1.99, 1.147, 4_000);

    private static PoolLayout layout(double capacity, int endpoints, String... zones) {
        return layout(List.of(capacity), endpoints, zones);
    }

    private static PoolLayout layout(List<Double> capacities, int endpoints, String... zones) {
        EndpointTable table = new EndpointTable("a", NoConcurrencyLimit::new);
        List<EndpointStatus> listing = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            listing.add(new EndpointStatus(endpoint("e" + i, zones[i % zones.length]), false));
        }
        table.update(listing);
        MemberTable members = new MemberTable(new Member("self", 1, "a", "10.0.0.1", 7_000, 0.1));
        List<Member> others = new ArrayList<>();
        capacities.forEach(
                capacity -> others.add(new Member("m" + others.size(), 1, "b", "10.0.0.2", 7_000, capacity)));
        members.replace(others);
        PoolLayout layout = new PoolLayout(table, members);
        layout.setServices(List.of(new ServiceSpec(SERVICE, SPEC), new ServiceSpec("engine", null)));
        return layout;
    }

    private static Endpoint endpoint(String name, String zone) {
        return new Endpoint(name, SERVICE, zone, "10.1.0.1", 80);
    }

    @Test
    void keepsServiceTogetherThatItsOwnerBears() {
        PoolLayout layout = layout(1.5, 11, "a", "b", "c");
        assertThat(layout.getPools(SERVICE), contains(PoolKey.ofAllZones(SERVICE)));
        assertThat(layout.findPool(endpoint("e", "b")), is(PoolKey.ofAllZones(SERVICE)));
    }

    @Test
    void dividesServiceByZoneThatNoInstanceBears() {
        PoolLayout layout = layout(0.36, 11, "a", "b", "c");
        assertThat(
                layout.getPools(SERVICE),
                contains(new PoolKey(SERVICE, "a"), new PoolKey(SERVICE, "b"), new PoolKey(SERVICE, "c")));
        assertThat(layout.findPool(endpoint("e", "b")), is(new PoolKey(SERVICE, "b")));
    }

    @Test
    void dividesServicesThatOneInstanceWouldOwnTogether() {
        PoolLayout layout = layout(List.of(1.5, 0.36, 0.36), 11, "a", "b", "c");
        layout.setServices(List.of(new ServiceSpec(SERVICE, SPEC), new ServiceSpec("encode", SPEC)));
        assertThat(layout.getPools(SERVICE).size(), is(3));
    }

    @Test
    void keepsServiceTogetherThatHasFewEndpointsInEachZone() {
        assertThat(layout(0.1, 5, "a", "b", "c").getPools(SERVICE), contains(PoolKey.ofAllZones(SERVICE)));
    }

    @Test
    void keepsServiceTogetherThatHasEndpointsInOneZoneOnly() {
        assertThat(layout(0.1, 11, "a").getPools(SERVICE), contains(PoolKey.ofAllZones(SERVICE)));
    }

    @Test
    void findsNoPoolForServiceWithoutPieces() {
        PoolLayout layout = layout(0.36, 11, "a", "b", "c");
        assertThat(layout.findPool(new Endpoint("m", "engine", "a", "10.1.0.2", 80)), is(nullValue()));
    }
}
