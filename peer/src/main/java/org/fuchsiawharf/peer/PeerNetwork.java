package org.fuchsiawharf.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Manages the connections between this instance and its peers.
 *
 * <p>An instance opens connections to the peers that it sends requests to; a peer responds on the same connection.
 * A frame of an unknown kind is dropped and counted. A frame that is too large or cannot be decoded is counted and
 * closes the connection.
 *
 * <p>Messages to a peer are encoded for the message version that it stated last, on whichever connection. The statement
 * is discarded when a connection to the peer is closed, since another version may answer at its address next.
 *
 * <p>The methods of {@link PeerPort} are called on the decision loop; channel handlers run on the I/O thread.
 */
public final class PeerNetwork implements PeerPort {
    /** The connect timeout: several round trips, but less than the initial retransmission timeout of a SYN (1 s). */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** The time a connection opened for a single message stays open for the response. */
    private static final long RESPONSE_WAIT_MILLIS = 1_000;
    /** The delay before a connection to a peer is opened again. */
    private static final long RECONNECT_DELAY_MILLIS = 500;

    private final Member self;
    private final EventLoopGroup group;
    private final Executor decisionLoop;
    private final DecisionLog log;
    private final Meters meters;
    private final PeerCodec codec;
    private final Map<String, Channel> outbound = new ConcurrentHashMap<>();
    private final Map<String, Channel> inbound = new ConcurrentHashMap<>();
    private final Map<String, Integer> messageVersions = new ConcurrentHashMap<>();
    private final Map<String, Member> desiredPeers = new HashMap<>();
    private final Set<String> connecting = ConcurrentHashMap.newKeySet();
    private @Nullable PeerListener listener;
    private @Nullable TunnelCarrier tunnelCarrier;
    private @Nullable AcceptedConnections acceptedConnections;

    /**
     * Creates a network that has no connections and is not bound.
     *
     * @param self this instance, not null
     * @param group the event loop group of the I/O thread, not null
     * @param decisionLoop the executor that runs tasks on the decision loop, not null
     * @param clock the clock of the decision loop, not null
     * @param log the log of connection events, not null
     * @param meters the meters that count messages and dropped frames, not null
     */
    public PeerNetwork(
            Member self, EventLoopGroup group, Executor decisionLoop, Clock clock, DecisionLog log, Meters meters) {
        this.self = self;
        this.group = group;
        this.decisionLoop = decisionLoop;
        this.codec = new PeerCodec(clock);
        this.log = log;
        this.meters = meters;
    }

    /**
     * Binds the address at which peers connect.
     *
     * @param peerListener the listener for messages and connection events, not null
     * @throws WharfException if the address cannot be bound
     */
    public void bind(PeerListener peerListener) {
        listener = peerListener;
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(channelInitializer(null))
                .bind(new InetSocketAddress(self.host(), self.port()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL,
                    "peer address " + self.host() + ":" + self.port() + " cannot be bound",
                    bound.cause());
        }
    }

    /**
     * Sets the carrier of tunnels that peers ask for; called before {@link #bind}. Without a carrier they are refused.
     *
     * @param carrier the carrier, not null
     */
    public void setTunnelCarrier(TunnelCarrier carrier) {
        tunnelCarrier = carrier;
    }

    /**
     * Sets the bounds of accepted connections; called before {@link #bind}. Without it they are not bounded.
     *
     * @param accepted counts and closes the connections, not null
     */
    public void setAcceptedConnections(AcceptedConnections accepted) {
        acceptedConnections = accepted;
    }

    // -----------------------------------------------------------------------

    @Override
    public void setDesiredPeers(Collection<Member> peers) {
        Map<String, Member> desired = new HashMap<>();
        peers.forEach(member -> desired.put(member.name(), member));
        for (Map.Entry<String, Member> current : Map.copyOf(desiredPeers).entrySet()) {
            if (!current.getValue().equals(desired.get(current.getKey()))) {
                desiredPeers.remove(current.getKey());
                Channel channel = outbound.remove(current.getKey());
                if (channel != null) {
                    messageVersions.remove(current.getKey());
                    channel.close();
                }
            }
        }
        desiredPeers.putAll(desired);
        desiredPeers.keySet().forEach(this::connectTo);
    }

    @Override
    public boolean send(String peer, PeerMessage message) {
        Channel channel = channelTo(peer);
        if (channel == null) {
            return false;
        }
        // Read after the channel is selected: a restarted peer may read a lower version than its predecessor.
        int version = messageVersions.getOrDefault(peer, PeerCodec.UNSTATED_VERSION);
        PeerProto.Frame frame = codec.encode(message, version);
        channel.writeAndFlush(frame);
        String kind = message.getClass().getSimpleName();
        meters.count("peer_messages_sent", kind);
        meters.count("peer_message_bytes_sent", kind, frame.getSerializedSize());
        return true;
    }

    @Override
    public void reconnect(String peer) {
        Channel channel = outbound.get(peer);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public Collection<String> getConnectedPeers() {
        Set<String> names = new java.util.TreeSet<>(outbound.keySet());
        names.addAll(inbound.keySet());
        return List.copyOf(names);
    }

    @Override
    public boolean isConnected(String peer) {
        return outbound.containsKey(peer) || inbound.containsKey(peer);
    }

    private @Nullable Channel channelTo(String peer) {
        for (Map<String, Channel> channels : List.of(outbound, inbound)) {
            Channel channel = channels.get(peer);
            if (channel != null && channel.isActive() && channel.isWritable()) {
                return channel;
            }
        }
        return null;
    }

    /**
     * Sends a single message to an address at which an instance may listen.
     *
     * <p>The listener receives any response with the address as the name of the sender.
     *
     * @param address the address, not null
     * @param message the message, not null
     */
    public void sendOnce(InetSocketAddress address, PeerMessage message) {
        String name = address.getHostString() + ":" + address.getPort();
        ChannelFuture future = newBootstrap(name).connect(address);
        future.addListener(done -> {
            if (future.isSuccess()) {
                Channel channel = future.channel();
                channel.writeAndFlush(helloFrame());
                channel.writeAndFlush(codec.encode(message, PeerCodec.UNSTATED_VERSION));
                channel.eventLoop().schedule(() -> channel.close(), RESPONSE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                log.write(
                        "peer.not_found",
                        "address",
                        name,
                        "detail",
                        future.cause().getMessage());
            }
        });
    }

    private Bootstrap newBootstrap(String name) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(channelInitializer(name));
    }

    private PeerProto.Frame helloFrame() {
        return PeerProto.Frame.newBuilder()
                .setHello(PeerProto.Hello.newBuilder()
                        .setName(self.name())
                        .setIncarnation(self.incarnation())
                        .setMessageVersion(PeerCodec.MESSAGE_VERSION))
                .build();
    }

    private void connectTo(String name) {
        Member member = desiredPeers.get(name);
        if (member == null || outbound.containsKey(name) || !connecting.add(name)) {
            return;
        }
        ChannelFuture future = newBootstrap(name).connect(new InetSocketAddress(member.host(), member.port()));
        future.addListener(done -> onConnectCompleted(name, future));
    }

    private void onConnectCompleted(String name, ChannelFuture future) {
        connecting.remove(name);
        if (future.isSuccess()) {
            Channel channel = future.channel();
            channel.writeAndFlush(helloFrame());
            outbound.put(name, channel);
            notifyListener(l -> l.onConnected(name));
        } else {
            notifyListener(
                    l -> l.onDisconnected(name, String.valueOf(future.cause().getMessage())));
            scheduleReconnect(name);
        }
    }

    private void scheduleReconnect(String name) {
        group.next()
                .schedule(
                        () -> decisionLoop.execute(() -> connectTo(name)),
                        RECONNECT_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    // -----------------------------------------------------------------------

    void onHello(String name, int messageVersion, Channel channel) {
        messageVersions.put(name, messageVersion);
        Channel previous = inbound.put(name, channel);
        if (previous != null && previous != channel) {
            previous.close();
        }
    }

    /** Hands a connection whose first message asks for a tunnel over to the carrier. */
    void onTunnelRequested(ChannelHandlerContext context, PeerProto.OpenTunnel open) {
        TunnelCarrier carrier = tunnelCarrier;
        if (carrier == null) {
            countDroppedFrame("no tunnels");
            context.close();
        } else {
            meters.count("tunnels", "requested");
            carrier.accept(context, new TunnelRequest(open.getSender(), open.getEndpoint(), open.getRequestId()));
        }
    }

    void onFrame(String from, PeerProto.Frame frame) {
        // Entries are removed with connections; one that sendOnce opened is in neither map.
        if (frame.hasHeartbeat() && isConnected(from)) {
            messageVersions.put(from, frame.getHeartbeat().getMessageVersion());
        }
        PeerMessage message = codec.decode(frame);
        if (message == null) {
            countDroppedFrame("unknown kind");
        } else {
            meters.count("peer_messages_received", message.getClass().getSimpleName());
            notifyListener(l -> l.onMessage(from, message));
        }
    }

    void onClosed(String name, Channel channel, String detail) {
        if (inbound.remove(name, channel)) {
            messageVersions.remove(name);
        }
        if (outbound.remove(name, channel)) {
            messageVersions.remove(name);
            log.write("peer.disconnected", "peer", name, "detail", detail);
            notifyListener(l -> l.onDisconnected(name, detail));
            scheduleReconnect(name);
        }
    }

    void countDroppedFrame(String reason) {
        meters.count("peer_frames_dropped", reason);
    }

    private void notifyListener(java.util.function.Consumer<PeerListener> notification) {
        PeerListener current = listener;
        if (current != null) {
            decisionLoop.execute(() -> notification.accept(current));
        }
    }

    private ChannelInitializer<Channel> channelInitializer(@Nullable String peer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                AcceptedConnections bounded = peer == null ? acceptedConnections : null;
                AcceptedConnections.Accepted accepted = bounded == null ? null : bounded.open(channel);
                PeerFrames.addTo(channel.pipeline(), accepted == null ? bytes -> {} : accepted);
                channel.pipeline().addLast(new PeerConnection(PeerNetwork.this, peer, accepted));
            }
        };
    }
}
