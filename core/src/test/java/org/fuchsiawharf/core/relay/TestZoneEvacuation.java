package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.route.ColdStart;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

class TestZoneEvacuation {
    private static final int REQUESTS = 40;

    private final RelayInstanceFixture fixture = new RelayInstanceFixture();

    TestZoneEvacuation() {
        fixture.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
        list();
    }

    /** Lists two endpoints of each service in each of two zones. */
    private void list() {
        List<EndpointStatus> listing = new ArrayList<>();
        List<String> services = List.of("plain", "engine", "encode");
        for (String service : services) {
            for (int i = 0; i < 4; i++) {
                String zone = i < 2 ? "a" : "b";
                String host = "10.0." + services.indexOf(service) + "." + i;
                listing.add(new EndpointStatus(new Endpoint(service + i, service, zone, host, 80), false));
            }
        }
        fixture.instance.getEndpointUpdates().onEndpoints(listing);
    }

    private void evacuate(String... zones) {
        fixture.instance.getEndpointUpdates().onEvacuated(Set.of(zones));
    }

    private List<String> zonesOfRequests(String path) {
        int before = fixture.calls.sent.size();
        IntStream.range(0, REQUESTS).forEach(i -> {
            int sent = fixture.calls.sent.size();
            fixture.request(path, 1_000);
            fixture.advance(10);
            fixture.calls.sent.subList(sent, fixture.calls.sent.size()).forEach(call -> call.respond(200));
        });
        return fixture.calls.sent.subList(before, fixture.calls.sent.size()).stream()
                .map(call -> call.endpoint.zone())
                .toList();
    }

    // Requests were sent to the endpoints of a zone that the operator had evacuated.
    @Test
    void evacuatedZoneReceivesNoRequestUntilItIsTakenBack() {
        assertThat(zonesOfRequests("/get/x"), hasItem("a"));
        evacuate("a");
        assertThat(zonesOfRequests("/get/x"), everyItem(is("b")));
        // A listing that arrives during the evacuation does not end it.
        list();
        assertThat(zonesOfRequests("/post/x"), everyItem(is("b")));
        evacuate();
        assertThat(zonesOfRequests("/get/x"), hasItem("a"));
    }

    // A request whose call failed was repeated in the evacuated zone.
    @Test
    void callInFlightGoesOnAndIsRepeatedElsewhere() {
        evacuate("b");
        RecordingExchange answered = fixture.request("/get/x", 1_000);
        RecordingExchange repeated = fixture.request("/get/x", 1_000);
        FakeEndpointCalls.SentCall failing = fixture.calls.last();
        evacuate("a");
        fixture.calls.sent.get(0).respond(200);
        assertThat(answered.outcomes, contains("200"));
        failing.fail(CallFailure.LOST);
        fixture.advance(50);
        assertThat(fixture.calls.last().endpoint.zone(), is("b"));
        fixture.calls.last().respond(200);
        assertThat(repeated.outcomes, contains("200"));
    }

    // Pieces of stages were sent to the endpoints of an evacuated zone, and their results released there.
    @Test
    void piecesAndReleasesLeaveEvacuatedZone() {
        evacuate("a");
        for (int i = 0; i < 10; i++) {
            fixture.request("/staged/x", 3_000, 4, 4);
        }
        fixture.advance(500);
        fixture.producePieces();
        assertThat(
                fixture.pieces.getSent().stream()
                        .map(call -> call.getEndpoint().zone())
                        .distinct()
                        .toList(),
                contains("b"));
        evacuate("b");
        int released = fixture.pieces.getReleasedHandles().size();
        fixture.calls.sent.forEach(call -> call.respond(200));
        fixture.advance(500);
        assertThat(fixture.pieces.getReleasedHandles().size(), is(released));
    }

    // The endpoints of a zone that was taken back received all requests that came within the time of a start.
    @Test
    void endpointsOfZoneThatIsTakenBackGetFewRequestsAtFirst() {
        fixture.context.coldShares().setServices(List.of(new ServiceSpec("plain", null, 10, new ColdStart(3_000, 2))));
        evacuate("b");
        evacuate("a");
        assertThat(zonesOfRequests("/get/x").stream().filter("b"::equals).count(), is(lessThan(REQUESTS / 2L)));
        fixture.advance(3_000);
        assertThat(zonesOfRequests("/get/x"), everyItem(is("b")));
    }

    @Test
    void requestIsRefusedAsNotRunWhileAllZonesAreEvacuated() {
        evacuate("a", "b");
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        assertThat(exchange.outcomes, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
        assertThat(fixture.calls.sent, is(empty()));
    }

    // An evacuation of a zone without endpoints must change nothing.
    @Test
    void unknownZoneIsLoggedAndChangesNothing() {
        evacuate("elsewhere", "");
        assertThat(zonesOfRequests("/get/x"), hasItem("a"));
        assertThat(fixture.loggedEvents, hasItem("zones.evacuated"));
        assertThat(fixture.loggedEvents, not(hasItem("request.refused")));
    }
}
