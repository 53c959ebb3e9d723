package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestEndpointTable {
    private final EndpointTable table = new EndpointTable("a", NoConcurrencyLimit::new);

    private void list(Endpoint... endpoints) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            statuses.add(new EndpointStatus(endpoint, false));
        }
        table.update(statuses);
    }

    private @Nullable String findName(String handle) {
        EndpointState state = table.findByHandle(handle);
        return state == null ? null : state.getEndpoint().name();
    }

    @Test
    void findsProducerByAddressAtStartOfHandle() {
        list(new Endpoint("e1", "s", "a", "10.0.0.1", 80), new Endpoint("e2", "s", "a", "10.0.0.1", 8080));
        assertThat(findName("10.0.0.1:80/x/y"), is("e1"));
        assertThat(findName("10.0.0.1:8080/x"), is("e2"));
    }

    @Test
    void findsNoProducerForUnknownOrMalformedHandle() {
        list(new Endpoint("e1", "s", "a", "10.0.0.1", 80));
        assertThat(findName("10.0.0.2:80/x"), is(nullValue()));
        assertThat(findName("10.0.0.1:80"), is(nullValue()));
    }

    @Test
    void findsProducerAtNewAddressAfterItMoved() {
        list(new Endpoint("e1", "s", "a", "10.0.0.1", 80));
        list(new Endpoint("e1", "s", "a", "10.0.0.2", 80));
        assertThat(findName("10.0.0.1:80/x"), is(nullValue()));
        assertThat(findName("10.0.0.2:80/x"), is("e1"));
    }

    private boolean isUsable(Endpoint endpoint) {
        EndpointState state = table.getEndpoint(endpoint.name());
        return state != null && state.isUsable();
    }

    private void listIncarnation(Endpoint endpoint, long incarnation, boolean leaving) {
        table.update(List.of(new EndpointStatus(endpoint, leaving, incarnation)));
    }

    @Test
    void restartOfLeavingEndpointIsUsableEvenAfterItWasAbsent() {
        Endpoint endpoint = new Endpoint("e1", "s", "a", "10.0.0.1", 80);
        listIncarnation(endpoint, 1, true);
        list();
        listIncarnation(endpoint, 1, false);
        assertThat(isUsable(endpoint), is(false));
        list();
        listIncarnation(endpoint, 2, false);
        assertThat(isUsable(endpoint), is(true));
        listIncarnation(endpoint, 2, true);
        listIncarnation(endpoint, 3, false);
        assertThat(isUsable(endpoint), is(true));
    }

    @Test
    void endpointThatLeavesIsNotUsableAtItsNewAddress() {
        listIncarnation(new Endpoint("e1", "s", "a", "10.0.0.1", 80), 1, true);
        Endpoint moved = new Endpoint("e1", "s", "a", "10.0.0.2", 80);
        listIncarnation(moved, 1, false);
        assertThat(isUsable(moved), is(false));
    }
}
