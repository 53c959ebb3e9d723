package org.fuchsiawharf.relay.edge;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

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
import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.limits.ClientLimitLog;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.core.relay.RelayRequest;
import org.fuchsiawharf.core.route.CallerLimits;
import org.fuchsiawharf.relay.Failures;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.SocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * HTTP/1.1 server that accepts callers' connections and passes their requests to the decision loop.
 *
 * <p>Confined to the I/O thread, except for the methods that are documented otherwise.
 */
public final class CallerServer {
    /** Interval at which connections are checked for timeouts. */
    private static final long TIMEOUT_CHECK_MILLIS = 500;
    /** Maximum length of the queue of connections to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** Passes over the sockets for accepting connections before the listening socket is closed; more than empty the queue. */
    private static final int MAX_ACCEPT_PASSES = 100;

    private final IoThread io;
    private final EventLoop loop;
    private final FieldNames names;
    private final RelayInstance instance;
    private final Executor decisionLoop;
    private final CallerBounds bounds;
    private final CallerMemory memory;
    private final ClientLimitLog limitLog;
    private final DecisionLog log;
    private final Meters meters;
    private final Set<CallerConnection> connections = new HashSet<>();
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private volatile boolean draining;
    private boolean closingIdleConnections;
    private long openedConnections;
    private volatile int connectionCount;
    private volatile @Nullable Channel serverChannel;

    /**
     * Creates a server; {@link #bind} binds its listen address.
     *
     * @param io the I/O thread, not null
     * @param names the names of the header fields, not null
     * @param instance handles the requests, not null
     * @param decisionLoop executes tasks on the decision loop, not null
     * @param bounds the bounds of what the connections take of the process, not null
     * @param log records malformed requests and connection failures, not null
     * @param meters records metrics, not null
     */
    public CallerServer(
            IoThread io,
            FieldNames names,
            RelayInstance instance,
            Executor decisionLoop,
            CallerBounds bounds,
            DecisionLog log,
            Meters meters) {
        this.io = io;
        this.loop = io.getLoop();
        this.names = names;
        this.instance = instance;
        this.decisionLoop = decisionLoop;
        this.bounds = bounds;
        this.memory = new CallerMemory(bounds.maxConnections(), bounds.maxBytes());
        this.limitLog = new ClientLimitLog("callers", System::nanoTime, log, meters);
        this.log = log;
        this.meters = meters;
    }

    /**
     * Binds the listen address; called once, from any thread.
     *
     * @param address the address for callers, not null
     * @throws WharfException if the address cannot be bound
     */
    public void bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(io.getGroup())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, SocketOptions.createReceiveAllocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this);
                        channel.pipeline().addLast(connection.getDecoder(), new HttpResponseEncoder(), connection);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL, "caller server address " + address + " cannot be bound", bound.cause());
        }
        serverChannel = bound.channel();
        loop.scheduleAtFixedRate(
                this::checkTimeouts, TIMEOUT_CHECK_MILLIS, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the limits of callers' requests and connections; may be called from any thread.
     *
     * @param newLimits the limits, not null
     */
    public void setLimits(CallerLimits newLimits) {
        limits = newLimits;
    }

    /** Closes each connection after its next response; may be called from any thread. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops accepting connections and closes those without a request, after the I/O thread has accepted and read what
     * arrived before; may be called from any thread.
     */
    public void closeIdle() {
        loop.execute(() -> closeOnceAccepted(MAX_ACCEPT_PASSES));
    }

    // One pass over the sockets accepts a bounded number of connections.
    private void closeOnceAccepted(int passes) {
        long openedBefore = openedConnections;
        runAfterReading(() -> {
            if (openedConnections > openedBefore && passes > 1) {
                closeOnceAccepted(passes - 1);
                return;
            }
            closingIdleConnections = true;
            Channel channel = serverChannel;
            if (channel != null) {
                channel.close();
            }
            checkTimeouts();
        });
    }

    /**
     * Gets the number of open connections; may be called from any thread.
     *
     * @return the current number of open connections
     */
    public int getConnectionCount() {
        return connectionCount;
    }

    /**
     * Counts the requests whose responses have not been passed to the operating system in full, after the I/O thread
     * has accepted and read what arrived before; may be called from any thread.
     *
     * @param callback receives the number on the I/O thread, not null
     */
    public void countUnsentResponses(IntConsumer callback) {
        loop.execute(() -> runAfterReading(() -> runAfterReading(() -> callback.accept((int)
                connections.stream().filter(CallerConnection::hasUnsentResponse).count()))));
    }

    // The I/O thread executes its own scheduled tasks after the next pass over its sockets, other tasks before it.
    private void runAfterReading(Runnable task) {
        loop.schedule(task, 0, TimeUnit.MILLISECONDS);
    }

    // A request that arrived while the I/O thread was late is read before its connection is checked.
    private void checkTimeouts() {
        runAfterReading(this::closeTimedOut);
    }

    private void closeTimedOut() {
        long nowNanos = System.nanoTime();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeout(nowNanos, limits, closingIdleConnections);
        }
    }

    // -----------------------------------------------------------------------

    void onOpened(CallerConnection connection) {
        connections.add(connection);
        openedConnections++;
        connectionCount = connections.size();
        meters.count("caller_connections", "opened");
    }

    void onClosed(CallerConnection connection, CallerMemory.@Nullable Account account) {
        if (account != null) {
            account.close();
        }
        connections.remove(connection);
        connectionCount = connections.size();
    }

    void onRequest(HttpCallerExchange exchange) {
        RelayRequest request = RequestHeadReader.read(exchange.getHead(), exchange.getBody(), names);
        decisionLoop.execute(() -> exchange.run(() -> instance.onRequest(request, exchange)));
    }

    void onCallerLeft(HttpCallerExchange exchange) {
        decisionLoop.execute(() -> instance.onCallerLeft(exchange));
    }

    void onMalformed(int status, String detail) {
        meters.count("requests", "malformed");
        log.write("request.malformed", "status", status, "detail", detail);
    }

    /** Records that a request was failed by an exception or error of the instance; called on any thread. */
    void onRequestFailed(@Nullable String id, Throwable cause) {
        meters.count("requests", "internal");
        log.write("request.failed", "request", id, "cause", Failures.describe(cause));
    }

    /** Records that a connection was refused or closed, or its request refused, because of a bound. */
    void onLimited(Channel channel, String limit) {
        limitLog.onLimited(String.valueOf(channel.remoteAddress()), limit);
    }

    void onConnectionFailed(String detail) {
        meters.count("caller_connections", "failed");
        log.write("caller.connection_failed", "detail", detail);
    }

    void executeOnIoThread(Runnable task) {
        loop.execute(task);
    }

    FieldNames getNames() {
        return names;
    }

    CallerLimits getLimits() {
        return limits;
    }

    CallerBounds getBounds() {
        return bounds;
    }

    CallerMemory getMemory() {
        return memory;
    }

    boolean isDraining() {
        return draining;
    }

    /** Gets the names of the fields that may occur only once, since they determine how a request is handled. */
    List<String> getSingleValuedFields() {
        return List.of(
                HttpHeaderNames.CONTENT_LENGTH.toString(),
                names.requestId(),
                names.workspaceKey(),
                names.deadline(),
                names.pieces(),
                names.pieceKey());
    }
}
