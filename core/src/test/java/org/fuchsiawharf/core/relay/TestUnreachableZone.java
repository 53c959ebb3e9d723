package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Plays an instance that connects with the endpoints of its own zone only; each other connect fails after a time. */
class TestUnreachableZone {
    private static final int ENDPOINTS_PER_ZONE = 14;
    private static final long CONNECT_MILLIS = 400;
    private static final int REQUESTS = 60;

    private final RelayInstanceFixture fixture = new RelayInstanceFixture();
    private final List<EndpointStatus> listing = new ArrayList<>();
    private boolean cutOff = true;

    TestUnreachableZone() {
        fixture.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
        for (String zone : List.of("a", "b", "c")) {
            for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
                Endpoint endpoint = new Endpoint(zone + i, "plain", zone, "10.0." + zone.charAt(0) + "." + i, 80);
                listing.add(new EndpointStatus(endpoint, false));
            }
        }
        fixture.instance.getEndpointUpdates().onEndpoints(listing);
    }

    /** Sends requests one after the other and gets the number of connects that failed. */
    private int countFailedConnects() {
        int failed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            RecordingExchange exchange = fixture.request("/get/x", 4_000);
            while (exchange.outcomes.isEmpty()) {
                FakeEndpointCalls.SentCall call = fixture.calls.last();
                if (cutOff && !call.endpoint.zone().equals("a")) {
                    failed++;
                    fixture.advance(CONNECT_MILLIS);
                    call.fail(CallFailure.NOT_SENT);
                } else {
                    fixture.advance(20);
                    call.respond(200);
                }
            }
            assertThat(exchange.outcomes, contains("200"));
        }
        return failed;
    }

    // An instance that was cut off found the 28 endpoints of the other zones one by one, each by a request that waited.
    @Test
    void unreachableZonesAreFoundByFewRequests() {
        assertThat(countFailedConnects(), is(lessThanOrEqualTo(10)));
    }

    @Test
    void zoneIsUsedAgainSoonAfterItIsReached() {
        countFailedConnects();
        cutOff = false;
        fixture.advance(6_000);
        listing.removeIf(status -> status.endpoint().zone().equals("a"));
        fixture.instance.getEndpointUpdates().onEndpoints(listing);
        int before = fixture.calls.sent.size();
        assertThat(countFailedConnects(), is(0));
        assertThat(
                fixture.calls.sent.subList(before, before + REQUESTS).stream()
                        .map(call -> call.endpoint.zone())
                        .distinct()
                        .toList(),
                containsInAnyOrder("b", "c"));
    }

    // A few endpoints that had failed by themselves made an instance leave their whole zone.
    @Test
    void responseFromZoneEndsSuspicion() {
        fixture.context.table().getZoneReach().onNotConnected("b", "b0", 0);
        fixture.context.table().getZoneReach().onNotConnected("b", "b1", 0);
        fixture.context.table().getZoneReach().onResponse("b");
        assertThat(fixture.context.table().getZoneReach().onNotConnected("b", "b2", 0), is(false));
        assertThat(fixture.context.table().getZoneReach().isSuspected("b", 0), is(false));
    }

    @Test
    void suspectedZoneIsUsedIfThereIsNoOther() {
        listing.removeIf(status -> !status.endpoint().zone().equals("b"));
        fixture.instance.getEndpointUpdates().onEndpoints(listing);
        for (int i = 0; i < 3; i++) {
            fixture.context.table().getZoneReach().onNotConnected("b", "b" + i, fixture.timers.now());
        }
        cutOff = false;
        countFailedConnects();
        assertThat(fixture.calls.sent.stream().map(call -> call.endpoint.zone()).toList(), everyItem(is("b")));
    }
}
