package org.fuchsiawharf.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options of the connections that the HTTP client opens.
 *
 * <p>Keep-alive probes detect connections whose peer has stopped responding. Stateless and thread-safe.
 */
public final class SocketOptions {
    /** Idle time before the first probe; the minimum that the operating system allows. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    /** Unanswered probes after which the connection is closed; two, so that one lost packet is tolerated. */
    private static final int KEEP_ALIVE_PROBES = 2;

    /** Reads of a connection before others get their turn. */
    private static final int MAX_READS_PER_TURN = 1;

    private static final int MIN_RECEIVE_BUFFER_BYTES = 64;
    private static final int INITIAL_RECEIVE_BUFFER_BYTES = 2_048;
    /** Maximum number of bytes that one read returns; the smallest events are a few bytes long, and each costs time. */
    private static final int MAX_RECEIVE_BUFFER_BYTES = 16_384;

    private SocketOptions() {}

    /**
     * Creates the allocator of receive buffers, which bounds how much of one connection is read before the other
     * connections of the I/O thread get their turn.
     *
     * @return a new allocator, never null
     */
    public static RecvByteBufAllocator createReceiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(
                        MIN_RECEIVE_BUFFER_BYTES, INITIAL_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES)
                .maxMessagesPerRead(MAX_READS_PER_TURN);
    }

    /**
     * Sets the options of the connections that a bootstrap opens.
     *
     * @param bootstrap the bootstrap to configure, not null
     * @param connectTimeoutMillis the connect timeout, in milliseconds
     */
    public static void apply(Bootstrap bootstrap, int connectTimeoutMillis) {
        bootstrap
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, createReceiveAllocator())
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }
}
