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
import org.fuchsiawharf.core.pieces.StageBacklog;
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
    private static final long PATIENCE_SECONDS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService decisions = Executors.newSingleThreadExecutor();
    private final Map<String, Long> counts = new ConcurrentHashMap<>();
    private final Meters meters = new Meters() {
        @Override
        public void count(String name, String label, long amount) {
            counts.merge(name + "/" + label, amount, Long::sum);
        }

        @Override
        public void time(String name, String label, long nanos) {}
    };
    private final List<Node> nodes = new ArrayList<>();

    /** One instance's network and what it received. */
    private final class Node implements PeerListener {
        private final Member self;
        private final PeerNetwork network;
        private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        private Node(String name, int port) {
            self = new Member(name, 1, "a", InetAddress.getLoopbackAddress().getHostAddress(), port, 1);
            network = new PeerNetwork(self, group, decisions, System::nanoTime, DecisionLog.NONE, meters);
            network.bind(this);
            nodes.add(this);
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

        private PeerMessage hear() throws InterruptedException {
            return Objects.requireNonNull(messages.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }

        private String event() throws InterruptedException {
            return Objects.requireNonNull(events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        decisions.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Node[] connectedPair() throws Exception {
        Node a = new Node("a", freePort());
        Node b = new Node("b", freePort());
        a.network.setConnectedPeers(List.of(b.self));
        assertThat(a.event(), is("up b"));
        return new Node[] {a, b};
    }

    @Test
    void carriesEveryMessageBothWays() throws Exception {
        Node[] pair = connectedPair();
        PieceId id = new PieceId("r", 1, 2);
        List<PeerMessage> messages = List.of(
                new PeerMessage.PiecesEnded(
                        "s",
                        List.of(
                                PieceResult.done(id, "10.0.0.1:80/x"),
                                PieceResult.notProduced(id, PieceResult.Status.INPUT_GONE))),
                new PeerMessage.CancelPieces("s", "r"),
                new PeerMessage.ReleaseResults("s", List.of("h1", "h2")),
                new PeerMessage.Heartbeat(Map.of("s", new StageBacklog(List.of(1, 2, 3, 4, 5, 6), 3, 1)), true),
                new PeerMessage.AskState(0));
        for (PeerMessage message : messages) {
            assertThat(pair[0].network.send("b", message), is(true));
            assertThat(pair[1].hear(), equalTo(message));
            assertThat(pair[1].network.send("a", message), is(true));
            assertThat(pair[0].hear(), equalTo(message));
        }
    }

    @Test
    void carriesTimesAsWhatIsLeftOfThem() throws Exception {
        Node[] pair = connectedPair();
        long due = System.nanoTime() + 500_000_000L;
        PieceTerms terms = new PieceTerms(2, "z", 10, 20, due, due + 1_000_000_000L);
        PieceOrder keyed = new PieceOrder(new PieceId("r", 0, 0), "key", List.of(), terms);
        PieceOrder fed = new PieceOrder(new PieceId("r", 1, 0), null, List.of("h"), terms);
        pair[0].network.send("b", new PeerMessage.SubmitPieces("s", List.of(keyed, fed)));
        PeerMessage.SubmitPieces got = (PeerMessage.SubmitPieces) pair[1].hear();
        assertThat(got.orders().get(0).key(), is("key"));
        assertThat(got.orders().get(1).key(), is(nullValue()));
        assertThat(got.orders().get(1).inputs(), contains("h"));
        long gap = got.orders().get(0).terms().deadlineNanos()
                - got.orders().get(0).terms().dueNanos();
        assertThat(Math.abs(gap - 1_000_000_000L) < 1_000_000, is(true));
        assertThat(got.orders().get(0).terms().dueNanos() >= due - 1_000, is(true));
    }

    @Test
    void tellsThatAnInstanceCannotBeReachedAndDialsAgain() throws Exception {
        int port = freePort();
        Node a = new Node("a", freePort());
        a.network.setConnectedPeers(List.of(new Member("b", 1, "a", a.self.host(), port, 1)));
        assertThat(a.event(), is("down b"));
        assertThat(a.network.send("b", new PeerMessage.AskState(0)), is(false));
        new Node("b", port);
        String event = a.event();
        while (event.equals("down b")) {
            event = a.event();
        }
        assertThat(event, is("up b"));
    }

    @Test
    void opensAConnectionAnewThatWasReset() throws Exception {
        Node[] pair = connectedPair();
        pair[0].network.reconnect("b");
        assertThat(pair[0].event(), is("down b"));
        assertThat(pair[0].event(), is("up b"));
    }

    @Test
    void dropsFramesOfTheUnnamedAndWhatCannotBeRead() throws Exception {
        Node a = new Node("a", freePort());
        byte[] ask = PeerProto.Frame.newBuilder()
                .setAskState(PeerProto.AskState.getDefaultInstance())
                .build()
                .toByteArray();
        sendRaw(a, ask.length, ask);
        awaitCount("peer_frames_dropped/unnamed");
        sendRaw(a, 100_000_000, new byte[10]);
        sendRaw(a, 4, new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff});
        awaitCount("peer_frames_dropped/broken");
        assertThat(a.messages, is(empty()));
    }

    @Test
    void skipsKindsOfLaterVersionsAndGoesOn() throws Exception {
        Node a = new Node("a", freePort());
        byte[] hello = PeerProto.Frame.newBuilder()
                .setHello(PeerProto.Hello.newBuilder().setName("later"))
                .build()
                .toByteArray();
        // Field 900, a length-delimited message of three bytes, which this version does not know.
        byte[] unknown = {(byte) 0xa2, 0x38, 3, 1, 2, 3};
        byte[] ask = PeerProto.Frame.newBuilder()
                .setAskState(PeerProto.AskState.getDefaultInstance())
                .build()
                .toByteArray();
        try (Socket socket = new Socket(a.self.host(), a.self.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (byte[] frame : List.of(hello, unknown, ask)) {
                out.writeInt(frame.length);
                out.write(frame);
            }
            assertThat(a.hear(), is(new PeerMessage.AskState(0)));
        }
        awaitCount("peer_frames_dropped/unknown kind");
    }

    private static void sendRaw(Node to, int length, byte[] frame) throws IOException {
        try (Socket socket = new Socket(to.self.host(), to.self.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(length);
            out.write(frame);
            out.flush();
            socket.getInputStream().read();
        } catch (java.net.SocketException e) {
            // The other side closed with bytes unread.
            assertThat(to.self.name(), is("a"));
        }
    }

    private void awaitCount(String name) throws InterruptedException {
        long end = System.currentTimeMillis() + PATIENCE_SECONDS * 1_000;
        while (counts.getOrDefault(name, 0L) == 0) {
            assertThat("never counted: " + name, System.currentTimeMillis() < end, is(true));
            Thread.sleep(10);
        }
    }
}
