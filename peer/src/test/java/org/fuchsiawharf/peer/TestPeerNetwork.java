package org.fuchsiawharf.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.pieces.PieceId;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.store.StorePosition;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestPeerNetwork {
    private static final PoolKey POOL = new PoolKey("s", "a");

    private static final long TIMEOUT_SECONDS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService decisionLoop = Executors.newSingleThreadExecutor();
    private final Map<String, Long> counts = new ConcurrentHashMap<>();
    private final Meters meters = new Meters() {
        @Override
        public void count(String name, String label, long amount) {
            counts.merge(name + "/" + label, amount, Long::sum);
        }

        @Override
        public void time(String name, String label, long nanos) {}
    };
    private final List<PeerFixture> instances = new ArrayList<>();

    /** The network of one instance, with the messages and events that its listener received. */
    private final class PeerFixture implements PeerListener {
        private final Member self;
        private final PeerNetwork network;
        private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        private PeerFixture(String name, int port) {
            self = new Member(name, 1, "a", InetAddress.getLoopbackAddress().getHostAddress(), port, 1);
            network = new PeerNetwork(self, group, decisionLoop, System::nanoTime, DecisionLog.NONE, meters);
            network.bind(this);
            instances.add(this);
        }

        @Override
        public void onMessage(String from, PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void onConnected(String member) {
            events.add("up " + member);
        }

        @Override
        public void onDisconnected(String member, String detail) {
            events.add("down " + member);
        }

        private PeerMessage nextMessage() throws InterruptedException {
            return Objects.requireNonNull(messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }

        private String nextEvent() throws InterruptedException {
            return Objects.requireNonNull(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        decisionLoop.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private PeerFixture[] connectedPair() throws Exception {
        PeerFixture a = new PeerFixture("a", freePort());
        PeerFixture b = new PeerFixture("b", freePort());
        a.network.setDesiredPeers(List.of(b.self));
        assertThat(a.nextEvent(), is("up b"));
        return new PeerFixture[] {a, b};
    }

    @Test
    void deliversEveryMessageKindInBothDirections() throws Exception {
        PeerFixture[] pair = connectedPair();
        PieceId id = new PieceId("r", 1, 2);
        List<PeerMessage> messages = List.of(
                new PeerMessage.PiecesEnded(
                        POOL,
                        List.of(
                                PieceResult.done(id, "10.0.0.1:80/x"),
                                PieceResult.notProduced(id, PieceResult.Status.INPUT_GONE))),
                new PeerMessage.CancelPieces(POOL, "r"),
                new PeerMessage.ReleaseResults(POOL, List.of("h1", "h2")),
                new PeerMessage.Heartbeat(Map.of(POOL, new StageBacklog(List.of(1, 2, 3, 4, 5, 6), 3, 1)), true),
                new PeerMessage.AskState(new StorePosition(0, 0), false, null));
        for (PeerMessage message : messages) {
            assertThat(pair[0].network.send("b", message), is(true));
            assertThat(pair[1].nextMessage(), equalTo(message));
            assertThat(pair[1].network.send("a", message), is(true));
            assertThat(pair[0].nextMessage(), equalTo(message));
        }
    }

    @Test
    void encodesTimesAsOffsetsFromCurrentTime() throws Exception {
        PeerFixture[] pair = connectedPair();
        long due = System.nanoTime() + 500_000_000L;
        PieceTerms terms = new PieceTerms(2, "z", 10, 20, due, due + 1_000_000_000L);
        PieceOrder withKey = new PieceOrder(new PieceId("r", 0, 0), "key", List.of(), terms);
        PieceOrder withInputs = new PieceOrder(new PieceId("r", 1, 0), null, List.of("h"), terms);
        pair[0].network.send("b", new PeerMessage.SubmitPieces(POOL, List.of(withKey, withInputs)));
        PeerMessage.SubmitPieces received = (PeerMessage.SubmitPieces) pair[1].nextMessage();
        assertThat(received.orders().get(0).key(), is("key"));
        assertThat(received.orders().get(1).key(), is(nullValue()));
        assertThat(received.orders().get(1).inputs(), contains("h"));
        long deadlineOffset = received.orders().get(0).terms().deadlineNanos()
                - received.orders().get(0).terms().dueNanos();
        assertThat(Math.abs(deadlineOffset - 1_000_000_000L) < 1_000_000, is(true));
        assertThat(received.orders().get(0).terms().dueNanos() >= due - 1_000, is(true));
    }

    @Test
    void reportsUnreachablePeerAndReconnects() throws Exception {
        int port = freePort();
        PeerFixture a = new PeerFixture("a", freePort());
        a.network.setDesiredPeers(List.of(new Member("b", 1, "a", a.self.host(), port, 1)));
        assertThat(a.nextEvent(), is("down b"));
        assertThat(a.network.send("b", new PeerMessage.AskState(new StorePosition(0, 0), false, null)), is(false));
        new PeerFixture("b", port);
        String event = a.nextEvent();
        while (event.equals("down b")) {
            event = a.nextEvent();
        }
        assertThat(event, is("up b"));
    }

    @Test
    void reopensConnectionAfterReset() throws Exception {
        PeerFixture[] pair = connectedPair();
        pair[0].network.reconnect("b");
        assertThat(pair[0].nextEvent(), is("down b"));
        assertThat(pair[0].nextEvent(), is("up b"));
    }

    @Test
    void dropsFramesBeforeHelloAndUndecodableFrames() throws Exception {
        PeerFixture a = new PeerFixture("a", freePort());
        byte[] askState = PeerProto.Frame.newBuilder()
                .setAskState(PeerProto.AskState.getDefaultInstance())
                .build()
                .toByteArray();
        sendRaw(a, askState.length, askState);
        awaitCount("peer_frames_dropped/unnamed");
        sendRaw(a, 100_000_000, new byte[10]);
        sendRaw(a, 4, new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff});
        awaitCount("peer_frames_dropped/broken");
        assertThat(a.messages, is(empty()));
    }

    @Test
    void dropsUnknownMessageKindsAndKeepsConnection() throws Exception {
        PeerFixture a = new PeerFixture("a", freePort());
        byte[] hello = PeerProto.Frame.newBuilder()
                .setHello(PeerProto.Hello.newBuilder().setName("later"))
                .build()
                .toByteArray();
        // Field 900, a length-delimited message of three bytes that this version does not define.
        byte[] unknown = {(byte) 0xa2, 0x38, 3, 1, 2, 3};
        byte[] askState = PeerProto.Frame.newBuilder()
                .setAskState(PeerProto.AskState.getDefaultInstance())
                .build()
                .toByteArray();
        try (Socket socket = new Socket(a.self.host(), a.self.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (byte[] frame : List.of(hello, unknown, askState)) {
                out.writeInt(frame.length);
                out.write(frame);
            }
            assertThat(a.nextMessage(), is(new PeerMessage.AskState(new StorePosition(0, 0), false, null)));
        }
        awaitCount("peer_frames_dropped/unknown kind");
    }

    private static void sendRaw(PeerFixture to, int length, byte[] frame) throws IOException {
        try (Socket socket = new Socket(to.self.host(), to.self.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(length);
            out.write(frame);
            out.flush();
            socket.getInputStream().read();
        } catch (java.net.SocketException e) {
            // Expected: closing a connection with unread bytes in the receive buffer resets it.
            assertThat(to.self.name(), is("a"));
        }
    }

    private void awaitCount(String name) throws InterruptedException {
        long end = System.currentTimeMillis() + TIMEOUT_SECONDS * 1_000;
        while (counts.getOrDefault(name, 0L) == 0) {
            assertThat("counter not incremented in time: " + name, System.currentTimeMillis() < end, is(true));
            Thread.sleep(10);
        }
    }
}
