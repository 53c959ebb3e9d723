package org.fuchsiawharf.relay.edge;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.core.relay.RelayRequest;
import org.fuchsiawharf.core.route.ClientLimits;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.jspecify.annotations.Nullable;

/**
 * The address that callers connect to.
 *
 * <p>Confined to the I/O thread, except for the methods that say otherwise.
 */
public final class Edge {
    /** How often quiet connections are looked for. */
    private static final long SWEEP_MILLIS = 500;
    /** Connections that wait to be accepted. */
    private static final int BACKLOG = 1_024;

    private final IoThread io;
    private final EventLoop loop;
    private final FieldNames names;
    private final RelayInstance instance;
    private final Executor decisions;
    private final DecisionLog log;
    private final Meters meters;
    private final Set<CallerConnection> connections = new HashSet<>();
    private volatile ClientLimits limits = ClientLimits.DEFAULT;
    private volatile boolean draining;
    private volatile boolean closingIdle;
    private volatile int connectionCount;
    private volatile @Nullable Channel listener;

    /**
     * Creates an edge; {@link #bind} opens it.
     *
     * @param io the I/O thread, not null
     * @param names the names of header fields, not null
     * @param instance decides about requests, not null
     * @param decisions runs tasks on the decision loop, not null
     * @param log takes decisions, not null
     * @param meters takes counts, not null
     */
    public Edge(
            IoThread io, FieldNames names, RelayInstance instance, Executor decisions, DecisionLog log, Meters meters) {
        this.io = io;
        this.loop = io.getLoop();
        this.names = names;
        this.instance = instance;
        this.decisions = decisions;
        this.log = log;
        this.meters = meters;
    }

    /**
     * Opens the address; called once, from any thread.
     *
     * @param address where callers connect, not null
     * @throws WharfException if the address cannot be opened
     */
    public void bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(io.getGroup())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new RequestDecoder(limits.maxHeaderBytes()),
                                        new HttpResponseEncoder(),
                                        new CallerConnection(Edge.this));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL, "callers' address " + address + " cannot be opened", bound.cause());
        }
        listener = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets what callers may send; may be called from any thread.
     *
     * @param next the limits, not null
     */
    public void setLimits(ClientLimits next) {
        limits = next;
    }

    /** Closes each connection after its next answer; may be called from any thread. */
    public void drain() {
        draining = true;
    }

    /** Takes no more connections and closes those without a request; may be called from any thread. */
    public void closeIdle() {
        closingIdle = true;
        loop.execute(() -> {
            Channel open = listener;
            if (open != null) {
                open.close();
            }
            sweep();
        });
    }

    /**
     * Gets the number of open connections; may be called from any thread.
     *
     * @return the count as of the last change
     */
    public int getConnectionCount() {
        return connectionCount;
    }

    private void sweep() {
        long now = System.nanoTime();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.checkQuiet(now, limits, closingIdle);
        }
    }

    // -----------------------------------------------------------------------

    void opened(CallerConnection connection) {
        connections.add(connection);
        connectionCount = connections.size();
        meters.count("caller_connections", "opened");
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
        connectionCount = connections.size();
    }

    void arrived(EdgeExchange exchange) {
        RelayRequest request = CallerRequestHead.read(exchange.getHead(), names);
        decisions.execute(() -> instance.onRequest(request, exchange));
    }

    void left(EdgeExchange exchange) {
        decisions.execute(() -> instance.onCallerLeft(exchange));
    }

    void malformed(int status, String detail) {
        meters.count("requests", "malformed");
        log.write("request.malformed", "status", status, "detail", detail);
    }

    void connectionFailed(String detail) {
        meters.count("caller_connections", "failed");
        log.write("caller.connection_failed", "detail", detail);
    }

    void onIo(Runnable task) {
        loop.execute(task);
    }

    FieldNames getNames() {
        return names;
    }

    ClientLimits getLimits() {
        return limits;
    }

    boolean isDraining() {
        return draining;
    }

    /** Gets the fields that decide about a request and so may stand once only. */
    List<String> getSingleFields() {
        return List.of(
                HttpHeaderNames.CONTENT_LENGTH.toString(),
                names.requestId(),
                names.key(),
                names.deadline(),
                names.pieces(),
                names.pieceKey());
    }
}
