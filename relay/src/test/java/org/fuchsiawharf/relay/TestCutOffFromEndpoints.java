package org.fuchsiawharf.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.fuchsiawharf.relay.ScriptedEndpoint.chunk;
import static org.fuchsiawharf.relay.ScriptedEndpoint.event;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestCutOffFromEndpoints {
    private static final int ENDPOINTS = 3;
    private static final int REQUESTS = 20;
    private static final int PENDING_CONNECTIONS = 3;
    private static final int STREAM_BYTES = 32 << 20;
    /** More than the buffers of a connection hold whose receiver does not read, less than a frame of a tunnel. */
    private static final int UPLOAD_BYTES = 4_100_000;

    private static final int PAUSE_MILLIS = 100;
    private static final int WAIT_SECONDS = 10;
    private static final ScriptedEndpoint.Step SERVE = (request, socket) -> {
        if (request.startLine().contains("/chat/")) {
            write(socket, head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            write(socket, chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
        } else {
            write(socket, response(request, 200, "answer"));
        }
    };

    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private RelayFixture cutOff;
    private RelayFixture peer;

    @BeforeEach
    void start() throws Exception {
        cutOff = new RelayFixture("cut-off");
        peer = new RelayFixture("peer");
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new ScriptedEndpoint().then(SERVE));
        }
        peer.list(listReached());
        RelayFixture.join(cutOff, peer);
    }

    @AfterEach
    void stop() throws Exception {
        cutOff.close();
        peer.close();
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private List<EndpointStatus> listReached() {
        return listPorts(endpoints.stream().map(ScriptedEndpoint::port).toList());
    }

    private static List<EndpointStatus> listPorts(List<Integer> ports) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            statuses.add(RelayFixture.status("e" + i, ports.get(i), ""));
        }
        return statuses;
    }

    private void listUnreached(List<Integer> ports) throws InterruptedException {
        cutOff.list(listPorts(ports));
    }

    private static List<Integer> findRefusingPorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ports.add(LoopbackPorts.findFree());
        }
        return ports;
    }

    /** Binds ports whose queue of connections is full, so that further connects get no answer. */
    private List<Integer> bindSilentPorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            resources.add(server);
            ports.add(server.getLocalPort());
            for (int j = 0; j < PENDING_CONNECTIONS; j++) {
                Socket socket = new Socket();
                resources.add(socket);
                fillQueue(socket, server);
            }
        }
        return ports;
    }

    private static void fillQueue(Socket socket, ServerSocket server) {
        try {
            socket.connect(server.getLocalSocketAddress(), 100);
        } catch (IOException e) {
            // The queue is full.
        }
    }

    private List<Integer> requestAll(String method, String path) throws IOException {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = method + i;
            statuses.add(cutOff.exchange(RelayFixture.request(method, path, id, "", method.equals("GET") ? "" : "body"))
                    .status());
        }
        return statuses;
    }

    @Test
    void requestsAreServedThroughPeerWhileConnectsToEndpointsAreRefused() throws Exception {
        listUnreached(findRefusingPorts());
        assertThat(requestAll("GET", "/get/"), everyItem(is(200)));
        assertThat(requestAll("POST", "/post/"), everyItem(is(200)));
        assertThat(requestAll("POST", "/chat/"), everyItem(is(200)));
    }

    @Test
    void requestsAreServedThroughPeerWhileConnectsToEndpointsGetNoAnswer() throws Exception {
        listUnreached(bindSilentPorts());
        assertThat(requestAll("GET", "/get/"), everyItem(is(200)));
        assertThat(requestAll("POST", "/post/"), everyItem(is(200)));
        assertThat(requestAll("POST", "/chat/"), everyItem(is(200)));
    }

    private void useSteps(ScriptedEndpoint.Step step) throws Exception {
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.replaceScript(step);
        }
        listUnreached(findRefusingPorts());
    }

    @Test
    void requestThatMustNotBeRepeatedRunsOnceThroughPeer() throws Exception {
        listUnreached(findRefusingPorts());
        requestAll("POST", "/post/");
        int runs = endpoints.stream().mapToInt(e -> e.requests.size()).sum();
        assertThat(runs, is(REQUESTS));
    }

    @Test
    void responseThatIsResetBehindPeerIsNotComplete() throws Exception {
        useSteps((request, socket) -> {
            write(socket, head(request, 200) + "Content-Type: text/plain\r\n\r\npart of a body without a length");
            Thread.sleep(PAUSE_MILLIS);
            ScriptedEndpoint.reset(socket);
        });
        RawMessage response = cutOff.exchange(RelayFixture.request("POST", "/post/", "r1", "", "body"));
        assertThat(response.status(), is(502));
    }

    @Test
    void responseThatEndsWithItsConnectionBehindPeerIsComplete() throws Exception {
        useSteps((request, socket) -> {
            write(socket, head(request, 200) + "Content-Type: text/plain\r\n\r\nbody without a length");
            socket.shutdownOutput();
        });
        RawMessage response = cutOff.exchange(RelayFixture.request("POST", "/post/", "r1", "", "body"));
        assertThat(response.status(), is(200));
        assertThat(response.body(), is("body without a length"));
    }

    private RawMessage uploadToEarlyEndpoint(int requestBytes, ScriptedEndpoint.Step ending) throws Exception {
        cutOff.setLimits(new CallerLimits(8_192, UPLOAD_BYTES, 2_000, 5_000));
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.early((request, socket) -> {
                // By then the instance has written the request, and the peer as much of it as it can.
                Thread.sleep(5 * PAUSE_MILLIS);
                write(socket, head(request, 200) + "\r\npart of a body without a length");
                ending.respond(request, socket);
            });
        }
        listUnreached(findRefusingPorts());
        return cutOff.exchange(RelayFixture.request("POST", "/post/", "r1", "", "x".repeat(requestBytes)));
    }

    // The peer reported a regular end though it had not passed on the request.
    @Test
    void responseThatEndsBehindPeerBeforeRequestIsWrittenIsNotComplete() throws Exception {
        RawMessage response = uploadToEarlyEndpoint(UPLOAD_BYTES, (request, socket) -> socket.shutdownOutput());
        assertThat(response.status(), is(502));
    }

    // The peer reported a regular end at once, and did not see the reset that followed it.
    @Test
    void responseThatIsResetAfterItsEndBehindPeerIsNotComplete() throws Exception {
        RawMessage response = uploadToEarlyEndpoint(UPLOAD_BYTES / 4, (request, socket) -> socket.close());
        assertThat(response.status(), is(502));
    }

    @Test
    void responseWhosePeerIsLostIsNotComplete() throws Exception {
        useSteps((request, socket) -> {
            write(socket, head(request, 200) + "Content-Type: text/plain\r\n\r\npart of a body without a length");
            peer.close();
        });
        RawMessage response = cutOff.exchange(RelayFixture.request("POST", "/post/", "r1", "", "body"));
        assertThat(response.status(), is(502));
    }

    @Test
    void endpointConnectionBehindPeerIsClosedWhenTheCallerLeaves() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        useSteps((request, socket) -> received.countDown());
        try (Socket socket = cutOff.connect()) {
            write(socket, RelayFixture.request("POST", "/chat/", "r1", "", "body"));
            assertThat(received.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        }
        assertThat(pollEnded(), is("closed"));
    }

    private String pollEnded() throws InterruptedException {
        for (int i = 0; i < WAIT_SECONDS * 10; i++) {
            for (ScriptedEndpoint endpoint : endpoints) {
                String reason = endpoint.endedConnections.poll(PAUSE_MILLIS / ENDPOINTS, TimeUnit.MILLISECONDS);
                if (reason != null) {
                    return reason;
                }
            }
        }
        return "open";
    }

    @Test
    void slowCallerBoundsWhatWaitsAtThePeer() throws Exception {
        AtomicLong written = new AtomicLong();
        String data = "x".repeat(STREAM_BYTES / 100);
        useSteps((request, socket) -> {
            write(socket, head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= 100; i++) {
                write(socket, chunk("id: " + i + "\ndata: " + data + "\n\n"));
                written.addAndGet(data.length());
            }
            write(socket, "0\r\n\r\n");
        });
        try (Socket socket = cutOff.connectWithReceiveBuffer(8_192)) {
            write(socket, RelayFixture.request("POST", "/chat/", "r1", "", "body"));
            awaitUnchanged(written);
            assertThat(written.get(), is(lessThan((long) STREAM_BYTES)));
            assertThat(RelayFixture.readResponse(socket).body().length(), is(greaterThan(STREAM_BYTES - 1)));
        }
    }

    private static void awaitUnchanged(AtomicLong value) throws InterruptedException {
        long previous;
        do {
            previous = value.get();
            Thread.sleep(5 * PAUSE_MILLIS);
        } while (value.get() == 0 || value.get() != previous);
    }

    @Test
    void peerSendsNothingToEndpointThatPausedInResponseToAnotherInstance() throws Exception {
        useSteps((request, socket) -> write(
                socket,
                "HTTP/1.1 503 X\r\nWharf-Request-Id: " + request.field("wharf-request-id")
                        + "\r\nWharf-Not-Executed: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n"));
        cutOff.exchange(RelayFixture.request("POST", "/post/", "r1", "", "body"));
        awaitRequests(ENDPOINTS);
        assertThat(
                peer.exchange(RelayFixture.request("POST", "/post/", "r2", "", "body"))
                        .status(),
                is(503));
        assertThat(endpoints.stream().mapToInt(e -> e.requests.size()).sum(), is(ENDPOINTS));
    }

    private void awaitRequests(int count) throws InterruptedException {
        for (int i = 0; i < WAIT_SECONDS * 10 && countRequests() < count; i++) {
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(countRequests(), is(count));
    }

    private int countRequests() {
        return endpoints.stream().mapToInt(e -> e.requests.size()).sum();
    }

    @Test
    void requestsGoDirectlyAgainAfterTheCut() throws Exception {
        List<Integer> ports = findRefusingPorts();
        listUnreached(ports);
        requestAll("GET", "/get/");
        List<ScriptedEndpoint> reachedAgain = new ArrayList<>();
        for (int port : ports) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint(port).then(SERVE);
            reachedAgain.add(endpoint);
            resources.add(endpoint);
        }
        for (int i = 0; i < WAIT_SECONDS * 10 && reachedAgain.stream().anyMatch(e -> e.connectionCount == 0); i++) {
            cutOff.exchange(RelayFixture.request("GET", "/get/", "w" + i, "", ""));
            Thread.sleep(PAUSE_MILLIS);
        }
        int throughPeer = countRequests();
        requestAll("GET", "/get/");
        assertThat(countRequests(), is(throughPeer));
    }

    @Test
    void callersOfSixInstancesOfNineAreServedThroughTheOthers() throws Exception {
        List<RelayFixture> instances = new ArrayList<>(List.of(peer));
        for (int i = 0; i < 2; i++) {
            instances.add(add("peer" + i));
            instances.get(instances.size() - 1).list(listReached());
        }
        for (int i = 0; i < 6; i++) {
            RelayFixture instance = add("cut-off" + i);
            instance.list(listPorts(findRefusingPorts()));
            instances.add(instance);
        }
        RelayFixture.join(instances.toArray(new RelayFixture[0]));
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            for (int j = 3; j < instances.size(); j++) {
                String request = RelayFixture.request("POST", "/post/", "r" + j + "-" + i, "", "body");
                served += instances.get(j).exchange(request).status() == 200 ? 1 : 0;
            }
        }
        assertThat(served, is(greaterThan(6 * REQUESTS * 9 / 10)));
    }

    private RelayFixture add(String name) throws Exception {
        RelayFixture instance = new RelayFixture(name);
        resources.add(instance);
        return instance;
    }
}
