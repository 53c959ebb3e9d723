package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.limits.ClientLimitLog;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.relay.IoThread;

/**
 * HTTP server for the status pages of the instance, such as readiness and metrics.
 *
 * <p>Thread-safe.
 */
public final class StatusServer {
    private final IoThread io;
    private final CallerBounds bounds;
    private final CallerMemory memory;
    private final ClientLimitLog limitLog;
    private final Map<String, Supplier<Page>> pages = new ConcurrentHashMap<>();

    /**
     * The content of a status page.
     *
     * @param status the HTTP status code
     * @param text the body
     */
    public record Page(int status, String text) {}

    /**
     * Creates a server without pages; {@link #bind} opens an address.
     *
     * @param io the I/O thread, not null
     * @param bounds the bounds of what the connections take of the process, not null
     * @param log records the connections that are closed because of a bound, not null
     * @param meters counts them, not null
     */
    public StatusServer(IoThread io, CallerBounds bounds, DecisionLog log, Meters meters) {
        this.io = io;
        this.bounds = bounds;
        this.memory = new CallerMemory(bounds.maxStatusConnections(), bounds.getMaxStatusBytes());
        this.limitLog = new ClientLimitLog("status", System::nanoTime, log, meters);
    }

    /**
     * Adds a page.
     *
     * @param path the path of the page, not null
     * @param page renders the page, called on the I/O thread, not null
     */
    public void add(String path, Supplier<Page> page) {
        pages.put(path, page);
    }

    /**
     * Opens a listen address that serves all pages.
     *
     * @param address the address, not null
     * @throws WharfException if the address cannot be bound
     */
    public void bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(io.getGroup())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        StatusConnection connection = new StatusConnection(
                                StatusServer.this::render, bounds.maxHeaderLines(), memory, limitLog);
                        channel.pipeline()
                                .addLast(
                                        connection.getDecoder(),
                                        new HttpResponseEncoder(),
                                        new HttpObjectAggregator(StatusConnection.MAX_REQUEST_BYTES),
                                        connection);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL, "status server address " + address + " cannot be bound", bound.cause());
        }
    }

    private Page render(String path) {
        Supplier<Page> page = pages.get(path);
        return page == null ? new Page(HttpResponseStatus.NOT_FOUND.code(), "not found\n") : page.get();
    }
}
