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
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Connections to other instances.
 *
 * <p>An instance dials those that it wants something of; answers come back on the same connection. A frame that is
 * too large, cannot be read or is of an unknown kind is dropped and counted. The port's methods are called on the
 * decision loop; connections live on the I/O thread.
 */
public final class PeerNetwork implements PeerPort {
    /** The largest frame; a list of a thousand endpoints is a fifth of it. */
    private static final int MAX_FRAME_BYTES = 4 << 20;

    private static final int LENGTH_BYTES = 4;
    /** How long dialling may take; some round trips, and less than the resending of a lost packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** How long a connection for one message stays open for the answer. */
    private static final long ONCE_MILLIS = 1_000;
    /** The pause before an instance is dialled again. */
    private static final long REDIAL_MILLIS = 500;

    private final Member self;
    private final EventLoopGroup group;
    private final Executor decisions;
    private final DecisionLog log;
    private final Meters meters;
    private final PeerCodec codec;
    private final Map<String, Channel> dialled = new ConcurrentHashMap<>();
    private final Map<String, Channel> accepted = new ConcurrentHashMap<>();
    private final Map<String, Member> wanted = new HashMap<>();
    private final Set<String> dialling = ConcurrentHashMap.newKeySet();
    private @Nullable PeerListener listener;

    /**
     * Creates a network without connections.
     *
     * @param self this instance, not null
     * @param group the I/O thread, not null
     * @param decisions runs tasks on the decision loop, not null
     * @param clock the loop's clock, not null
     * @param log takes decisions, not null
     * @param meters takes counts, not null
     */
    public PeerNetwork(
            Member self, EventLoopGroup group, Executor decisions, Clock clock, DecisionLog log, Meters meters) {
        this.self = self;
        this.group = group;
        this.decisions = decisions;
        this.codec = new PeerCodec(clock);
        this.log = log;
        this.meters = meters;
    }

    /**
     * Opens the address that others dial.
     *
     * @param hears hears other instances, not null
     * @throws WharfException if the address cannot be opened
     */
    public void bind(PeerListener hears) {
        listener = hears;
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline(null))
                .bind(new InetSocketAddress(self.host(), self.port()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL,
                    "address " + self.host() + ":" + self.port() + " for instances cannot be opened",
                    bound.cause());
        }
    }

    // -----------------------------------------------------------------------

    @Override
    public void setConnectedPeers(Collection<Member> peers) {
        Map<String, Member> next = new HashMap<>();
        peers.forEach(member -> next.put(member.name(), member));
        for (Map.Entry<String, Member> present : Map.copyOf(wanted).entrySet()) {
            if (!present.getValue().equals(next.get(present.getKey()))) {
                wanted.remove(present.getKey());
                Channel channel = dialled.remove(present.getKey());
                if (channel != null) {
                    channel.close();
                }
            }
        }
        wanted.putAll(next);
        wanted.keySet().forEach(this::dial);
    }

    @Override
    public boolean send(String member, PeerMessage message) {
        Channel channel = channelTo(member);
        if (channel == null) {
            return false;
        }
        channel.writeAndFlush(codec.encode(message));
        meters.count("peer_messages_sent", message.getClass().getSimpleName());
        return true;
    }

    @Override
    public void reconnect(String member) {
        Channel channel = dialled.get(member);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public Collection<String> getConnectedPeers() {
        Set<String> names = new java.util.TreeSet<>(dialled.keySet());
        names.addAll(accepted.keySet());
        return List.copyOf(names);
    }

    @Override
    public boolean isConnected(String member) {
        return dialled.containsKey(member) || accepted.containsKey(member);
    }

    private @Nullable Channel channelTo(String member) {
        for (Map<String, Channel> channels : List.of(dialled, accepted)) {
            Channel channel = channels.get(member);
            if (channel != null && channel.isActive() && channel.isWritable()) {
                return channel;
            }
        }
        return null;
    }

    /**
     * Sends one message to an address at which some instance may be found; answers come as from the address.
     *
     * @param address the address, not null
     * @param message the message, not null
     */
    public void sendOnce(InetSocketAddress address, PeerMessage message) {
        String name = address.getHostString() + ":" + address.getPort();
        ChannelFuture future = dialler(name).connect(address);
        future.addListener(done -> {
            if (future.isSuccess()) {
                Channel channel = future.channel();
                channel.writeAndFlush(hello());
                channel.writeAndFlush(codec.encode(message));
                channel.eventLoop().schedule(() -> channel.close(), ONCE_MILLIS, TimeUnit.MILLISECONDS);
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

    private Bootstrap dialler(String name) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(pipeline(name));
    }

    private PeerProto.Frame hello() {
        return PeerProto.Frame.newBuilder()
                .setHello(PeerProto.Hello.newBuilder().setName(self.name()).setIncarnation(self.incarnation()))
                .build();
    }

    private void dial(String name) {
        Member member = wanted.get(name);
        if (member == null || dialled.containsKey(name) || !dialling.add(name)) {
            return;
        }
        ChannelFuture future = dialler(name).connect(new InetSocketAddress(member.host(), member.port()));
        future.addListener(done -> onDialled(name, future));
    }

    private void onDialled(String name, ChannelFuture future) {
        dialling.remove(name);
        if (future.isSuccess()) {
            Channel channel = future.channel();
            channel.writeAndFlush(hello());
            dialled.put(name, channel);
            tell(hears -> hears.onConnected(name));
        } else {
            tell(hears ->
                    hears.onDisconnected(name, String.valueOf(future.cause().getMessage())));
            redialLater(name);
        }
    }

    private void redialLater(String name) {
        group.next().schedule(() -> decisions.execute(() -> dial(name)), REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    // -----------------------------------------------------------------------

    void accepted(String name, Channel channel) {
        Channel before = accepted.put(name, channel);
        if (before != null && before != channel) {
            before.close();
        }
    }

    void received(String from, PeerProto.Frame frame) {
        PeerMessage message = codec.decode(frame);
        if (message == null) {
            dropped("unknown kind");
        } else {
            meters.count("peer_messages_received", message.getClass().getSimpleName());
            tell(hears -> hears.onMessage(from, message));
        }
    }

    void closed(String name, Channel channel, String detail) {
        accepted.remove(name, channel);
        if (dialled.remove(name, channel)) {
            log.write("peer.disconnected", "peer", name, "detail", detail);
            tell(hears -> hears.onDisconnected(name, detail));
            redialLater(name);
        }
    }

    void dropped(String reason) {
        meters.count("peer_frames_dropped", reason);
    }

    private void tell(java.util.function.Consumer<PeerListener> what) {
        PeerListener present = listener;
        if (present != null) {
            decisions.execute(() -> what.accept(present));
        }
    }

    private ChannelInitializer<Channel> pipeline(@Nullable String peer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new ProtobufDecoder(PeerProto.Frame.getDefaultInstance()),
                                new LengthFieldPrepender(LENGTH_BYTES),
                                new ProtobufEncoder(),
                                new PeerConnection(PeerNetwork.this, peer));
            }
        };
    }
}
