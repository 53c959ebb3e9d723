package org.fuchsiawharf.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.pieces.PieceCalls;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.retry.HedgeLimits;
import org.fuchsiawharf.core.route.CallerLimits;
import org.fuchsiawharf.core.route.RequestKind;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.route.WeightedService;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.route.WorkspaceKeys;
import org.fuchsiawharf.core.stream.OriginStore;
import org.fuchsiawharf.core.stream.StreamOrigin;
import org.fuchsiawharf.relay.instance.InstanceLimits;
import org.fuchsiawharf.relay.instance.InstanceSettings;
import org.fuchsiawharf.relay.instance.MicrometerMeters;
import org.fuchsiawharf.relay.instance.RelayProcess;
import org.jspecify.annotations.Nullable;

/**
 * Fixture with a real instance on the loopback interface in front of scripted endpoints.
 *
 * <p>The routes are those of the tests in core.relay: get, post, chat and verdict. Thread-safe.
 */
final class RelayFixture implements AutoCloseable {
    /** The maximum number of connections of each endpoint. */
    static final int MAX_CONNECTIONS = 8;

    private static final int TIMEOUT_MILLIS = 10_000;
    static final CallerLimits LIMITS = new CallerLimits(8_192, 100_000, 2_000, 5_000);

    final RelayProcess process;
    private final InstanceSettings settings;

    RelayFixture(ScriptedEndpoint... endpoints) throws Exception {
        this("test", 3_000, DecisionLog.NONE, endpoints);
    }

    RelayFixture(ScriptedEndpoint endpoint, long gracePeriodMillis) throws Exception {
        this("test", gracePeriodMillis, DecisionLog.NONE, endpoint);
    }

    RelayFixture(ScriptedEndpoint endpoint, long gracePeriodMillis, DecisionLog log) throws Exception {
        this("test", gracePeriodMillis, log, endpoint);
    }

    RelayFixture(DecisionLog log, ScriptedEndpoint endpoint) throws Exception {
        this("test", 3_000, log, endpoint);
    }

    /** Creates an instance that hedges requests. */
    RelayFixture(HedgeLimits hedgeLimits, DecisionLog log, ScriptedEndpoint... endpoints) throws Exception {
        this("test", 3_000, log, hedgeLimits, endpoints);
    }

    RelayFixture(String name) throws Exception {
        this(name, 3_000, DecisionLog.NONE);
    }

    private RelayFixture(String name, long gracePeriodMillis, DecisionLog log, ScriptedEndpoint... endpoints)
            throws Exception {
        this(name, gracePeriodMillis, log, HedgeLimits.OFF, endpoints);
    }

    private RelayFixture(
            String name,
            long gracePeriodMillis,
            DecisionLog log,
            HedgeLimits hedgeLimits,
            ScriptedEndpoint... endpoints)
            throws Exception {
        String host = InetAddress.getLoopbackAddress().getHostAddress();
        settings = new InstanceSettings(
                new Member(name, 1, "a", host, LoopbackPorts.findFree(), 1),
                new InetSocketAddress(host, LoopbackPorts.findFree()),
                new InetSocketAddress(host, LoopbackPorts.findFree()),
                null,
                0.2,
                100,
                10_000,
                gracePeriodMillis,
                InstanceLimits.defaults().withHedges(hedgeLimits));
        process = new RelayProcess(
                settings, FieldNames.DEFAULT, p -> new UnsupportedPieceCalls(), log, new MicrometerMeters());
        process.getOrigins().setStore(new EmptyOriginStore());
        process.addReadinessPage("/ready");
        process.start();
        configure(endpoints);
    }

    private void configure(ScriptedEndpoint... endpoints) throws InterruptedException {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (int i = 0; i < endpoints.length; i++) {
            statuses.add(status("e" + i, endpoints[i], ""));
        }
        list(statuses);
    }

    static EndpointStatus status(String name, ScriptedEndpoint endpoint, String version) {
        return status(name, endpoint.port(), version);
    }

    static EndpointStatus status(String name, int port, String version) {
        String host = InetAddress.getLoopbackAddress().getHostAddress();
        return new EndpointStatus(new Endpoint(name, "s", "a", host, port), false, 1, version);
    }

    /** Makes instances members of one deployment. */
    static void join(RelayFixture... instances) throws InterruptedException {
        List<Member> members =
                Stream.of(instances).map(instance -> instance.settings.self()).toList();
        for (RelayFixture instance : instances) {
            CountDownLatch applied = new CountDownLatch(1);
            instance.process.getLoop().execute(() -> {
                instance.process.setMembers(members);
                applied.countDown();
            });
            applied.await();
        }
    }

    /** Lists endpoints, whose versions are the only ones known to the store. */
    void list(List<EndpointStatus> statuses) throws InterruptedException {
        Set<String> versions = statuses.stream().map(EndpointStatus::version).collect(Collectors.toSet());
        CountDownLatch applied = new CountDownLatch(1);
        process.getLoop().execute(() -> {
            process.applyConfig(config(1, LIMITS));
            process.getOrigins().getHistory().onStored("s", versions, 1);
            process.setEndpoints(statuses);
            applied.countDown();
        });
        applied.await();
    }

    /** Applies other limits of callers' connections; called once. */
    void setLimits(CallerLimits limits) throws InterruptedException {
        CountDownLatch applied = new CountDownLatch(1);
        process.getLoop().execute(() -> {
            process.applyConfig(config(2, limits));
            applied.countDown();
        });
        applied.await();
    }

    private static RoutingConfig config(long version, CallerLimits limits) {
        return RoutingConfig.of(
                version,
                List.of(
                        route("get", RequestKind.IDEMPOTENT, 2),
                        route("post", RequestKind.NON_IDEMPOTENT, 1),
                        route("chat", RequestKind.RESUMABLE_STREAM, 2),
                        route("verdict", RequestKind.SINGLE_STREAM, 1)),
                List.of(new ServiceSpec("s", null, MAX_CONNECTIONS)),
                WorkspaceKeys.of(Map.of("k1", new Workspace("w1", 3))),
                limits);
    }

    private static Route route(String name, RequestKind kind, int attempts) {
        return new Route(
                name,
                "h.example",
                "/" + name + "/",
                kind,
                8_000,
                1_000,
                250,
                1,
                List.of(new WeightedService("s", 1)),
                attempts,
                List.of(),
                false,
                false);
    }

    Socket connect() throws IOException {
        return connect(new Socket());
    }

    /** Connects with a small receive buffer, so that most of a large response waits at the instance. */
    Socket connectWithReceiveBuffer(int bytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(bytes);
        return connect(socket);
    }

    private Socket connect(Socket socket) throws IOException {
        socket.connect(settings.callerAddress(), TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    Socket connectToStatus() throws IOException {
        Socket socket = new Socket();
        socket.connect(settings.statusAddress(), TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Formats a request. */
    static String request(String method, String path, String id, String extraFields, String body) {
        String length = body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nWharf-Request-Id: " + id
                + "\r\nWharf-Key: k1\r\nWharf-Deadline-Ms: 6000\r\n" + extraFields + length + "\r\n" + body;
    }

    /** Sends a request on a new connection and reads one response. */
    RawMessage exchange(String text) throws IOException {
        try (Socket socket = connect()) {
            ScriptedEndpoint.write(socket, text);
            return readResponse(socket);
        }
    }

    static RawMessage readResponse(Socket socket) throws IOException {
        RawMessage response = RawMessage.read(socket.getInputStream());
        if (response == null) {
            throw new IOException("the connection was closed without a response");
        }
        return response;
    }

    @Override
    public void close() {
        process.getLoop().close();
        process.getIoThread().close();
    }

    /** A store without origins, which confirms what the instance knows. */
    private static final class EmptyOriginStore implements OriginStore {
        @Override
        public void writeOrigins(Map<String, StreamOrigin> origins, Consumer<Boolean> callback) {
            callback.accept(true);
        }

        @Override
        public void readOrigins(Consumer<@Nullable Map<String, StreamOrigin>> callback) {
            callback.accept(Map.of());
        }

        @Override
        public void writeVersions(String service, Set<String> versions, long expectedRevision) {}
    }

    private static final class UnsupportedPieceCalls implements PieceCalls {
        @Override
        public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
            throw new IllegalStateException("no route of the fixture has stages");
        }

        @Override
        public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {}

        @Override
        public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {}
    }
}
