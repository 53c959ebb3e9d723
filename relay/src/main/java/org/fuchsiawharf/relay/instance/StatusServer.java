package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.relay.IoThread;

/**
 * HTTP server for the status pages of the instance, such as readiness and metrics.
 *
 * <p>Thread-safe.
 */
public final class StatusServer {
    private static final int MAX_REQUEST_BYTES = 8_192;

    private final IoThread io;
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
     */
    public StatusServer(IoThread io) {
        this.io = io;
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
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        newHandler());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WharfException(
                    ErrorCode.INTERNAL, "status server address " + address + " cannot be bound", bound.cause());
        }
    }

    private SimpleChannelInboundHandler<FullHttpRequest> newHandler() {
        return new SimpleChannelInboundHandler<>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
                respond(context, request);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        };
    }

    private void respond(ChannelHandlerContext context, FullHttpRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        Supplier<Page> page = pages.get(query < 0 ? uri : uri.substring(0, query));
        Page result = page == null ? new Page(HttpResponseStatus.NOT_FOUND.code(), "not found\n") : page.get();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(result.status()),
                Unpooled.copiedBuffer(result.text(), StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, response.content().readableBytes());
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = context.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }
}
