package org.fuchsiawharf.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

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
import org.fuchsiawharf.peer.generated.PeerProto;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

class TestPeerMessageVersions {
    private static final PoolKey POOL = new PoolKey("s", "a");
    private static final int PIECES = 3;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int NOT_STATED = 0;
    private static final int WITH_GROUPS = 1;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService decisionLoop = Executors.newSingleThreadExecutor();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private final ServerSocket peerSocket = listen();
    private final Member self = member("a", freePort());
    private final PeerNetwork network =
            new PeerNetwork(self, group, decisionLoop, () -> 0, DecisionLog.NONE, Meters.NONE);

    TestPeerMessageVersions() throws IOException {}

    /** The peer's end of one connection, which reads and writes bare frames. */
    private record PeerSocket(Socket socket) {
        private PeerProto.Frame readFrame() throws IOException {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return PeerProto.Frame.parseFrom(in.readNBytes(in.readInt()));
        }

        private void write(PeerProto.Frame.Builder frame) throws IOException {
            byte[] bytes = frame.build().toByteArray();
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(bytes.length);
            out.write(bytes);
        }
    }

    @BeforeEach
    void bind() {
        network.bind(new PeerListener() {
            @Override
            public void onMessage(String from, PeerMessage message) {
                received.add(message);
            }

            @Override
            public void onConnected(String peer) {}

            @Override
            public void onDisconnected(String peer, String detail) {}
        });
    }

    @AfterEach
    void stop() throws IOException {
        peerSocket.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        decisionLoop.shutdownNow();
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = listen()) {
            return socket.getLocalPort();
        }
    }

    private static Member member(String name, int port) {
        return new Member(name, 1, "a", InetAddress.getLoopbackAddress().getHostAddress(), port, 1);
    }

    private static PeerMessage.SubmitPieces submit() {
        PieceTerms terms = new PieceTerms(2, "a", 10, 20, 1_000_000, 2_000_000);
        return new PeerMessage.SubmitPieces(
                POOL,
                IntStream.range(0, PIECES)
                        .mapToObj(piece -> new PieceOrder(new PieceId("r", 1, piece), null, List.of("h"), terms))
                        .toList());
    }

    private static PeerMessage.PiecesEnded ended() {
        return new PeerMessage.PiecesEnded(
                POOL,
                IntStream.range(0, PIECES)
                        .mapToObj(piece -> PieceResult.done(new PieceId("r", 1, piece), "h" + piece))
                        .toList());
    }

    private void awaitMessage() throws InterruptedException {
        Objects.requireNonNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Accepts the connection that the network opens to its peer {@code b}, which then sends a heartbeat. */
    private PeerSocket accept(int messageVersion) throws Exception {
        network.setDesiredPeers(List.of(member("b", peerSocket.getLocalPort())));
        PeerSocket peer = new PeerSocket(peerSocket.accept());
        assertThat(peer.readFrame().hasHello(), is(true));
        peer.write(PeerProto.Frame.newBuilder()
                .setHeartbeat(PeerProto.Heartbeat.newBuilder().setMessageVersion(messageVersion)));
        awaitMessage();
        return peer;
    }

    /** Opens a connection to the network as its peer {@code b}. */
    private PeerSocket connect(int messageVersion) throws Exception {
        PeerSocket peer = new PeerSocket(new Socket(self.host(), self.port()));
        peer.write(PeerProto.Frame.newBuilder()
                .setHello(PeerProto.Hello.newBuilder().setName("b").setMessageVersion(messageVersion)));
        peer.write(PeerProto.Frame.newBuilder().setAskState(PeerProto.AskState.getDefaultInstance()));
        awaitMessage();
        return peer;
    }

    private void assertSendsSeparatePieces(PeerSocket peer) throws IOException {
        assertThat(network.send("b", submit()), is(true));
        PeerProto.SubmitPieces submit = peer.readFrame().getSubmit();
        assertThat(submit.getOrdersCount(), is(PIECES));
        assertThat(submit.getGroupsCount(), is(0));
        assertThat(network.send("b", ended()), is(true));
        PeerProto.PiecesEnded ended = peer.readFrame().getEnded();
        assertThat(ended.getResultsCount(), is(PIECES));
        assertThat(ended.getGroupsCount(), is(0));
    }

    private void assertSendsGroups(PeerSocket peer) throws IOException {
        assertThat(network.send("b", submit()), is(true));
        PeerProto.SubmitPieces submit = peer.readFrame().getSubmit();
        assertThat(submit.getOrdersCount(), is(0));
        assertThat(submit.getGroupsCount(), is(1));
        assertThat(network.send("b", ended()), is(true));
        PeerProto.PiecesEnded ended = peer.readFrame().getEnded();
        assertThat(ended.getResultsCount(), is(0));
        assertThat(ended.getGroupsCount(), is(1));
    }

    // Pieces submitted in groups to an owner of an earlier version were never run.
    @Test
    void sendsSeparatePiecesToOwnerThatStatesNoVersion() throws Exception {
        assertSendsSeparatePieces(accept(NOT_STATED));
    }

    // An instance of an earlier version never received the results of its pieces.
    @Test
    void sendsSeparatePiecesToClientThatStatesNoVersion() throws Exception {
        assertSendsSeparatePieces(connect(NOT_STATED));
    }

    @Test
    void sendsGroupsToPeerThatStatesVersionInHeartbeat() throws Exception {
        assertSendsGroups(accept(WITH_GROUPS));
    }

    @Test
    void sendsGroupsToPeerThatStatesVersionInHello() throws Exception {
        assertSendsGroups(connect(WITH_GROUPS));
    }

    @Test
    void sendsSeparatePiecesAfterReconnectUntilVersionIsStated() throws Exception {
        accept(WITH_GROUPS).socket().close();
        PeerSocket reopened = new PeerSocket(peerSocket.accept());
        assertThat(reopened.readFrame().hasHello(), is(true));
        reopened.write(PeerProto.Frame.newBuilder().setAskState(PeerProto.AskState.getDefaultInstance()));
        awaitMessage();
        assertSendsSeparatePieces(reopened);
    }

    @Test
    void sendsSeparatePiecesToSuccessorOfPeerUntilVersionIsStated() throws Exception {
        accept(WITH_GROUPS);
        Member first = member("b", peerSocket.getLocalPort());
        network.setDesiredPeers(List.of(new Member("b", 2, first.zone(), first.host(), first.port(), 1)));
        PeerSocket successor = new PeerSocket(peerSocket.accept());
        assertThat(successor.readFrame().hasHello(), is(true));
        successor.write(PeerProto.Frame.newBuilder().setAskState(PeerProto.AskState.getDefaultInstance()));
        awaitMessage();
        assertSendsSeparatePieces(successor);
    }

    @Test
    void latestHelloReplacesVersionOfPeer() throws Exception {
        connect(WITH_GROUPS);
        assertSendsSeparatePieces(connect(NOT_STATED));
        assertSendsGroups(connect(WITH_GROUPS));
    }

    // Connections opened by either side exist at the same time; a peer sends its heartbeats on the one that it opened.
    @Test
    void versionAppliesToBothConnectionsOfPeer() throws Exception {
        PeerSocket accepted = accept(NOT_STATED);
        connect(WITH_GROUPS);
        assertSendsGroups(accepted);
    }

    @Test
    void statesVersionInHelloAndHeartbeat() throws Exception {
        network.setDesiredPeers(List.of(member("b", peerSocket.getLocalPort())));
        PeerSocket accepted = new PeerSocket(peerSocket.accept());
        assertThat(accepted.readFrame().getHello().getMessageVersion(), is(greaterThanOrEqualTo(WITH_GROUPS)));
        PeerSocket opened = connect(NOT_STATED);
        assertThat(network.send("b", new PeerMessage.Heartbeat(Map.of(), false)), is(true));
        assertThat(accepted.readFrame().getHeartbeat().getMessageVersion(), is(greaterThanOrEqualTo(WITH_GROUPS)));
        opened.socket().close();
    }
}
