package org.fuchsiawharf.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options that every connection of an instance has.
 *
 * <p>A connection whose other side fell silent is found by keep-alive probes. Stateless and thread-safe.
 */
public final class SocketOptions {
    /** Seconds of silence before the first probe; the least that the system allows. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    /** Seconds between probes. */
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    /** Unanswered probes until the connection counts as broken; one may be lost. */
    private static final int KEEP_ALIVE_PROBES = 2;

    private SocketOptions() {}

    /**
     * Sets the options of connections that are opened.
     *
     * @param bootstrap what opens them, not null
     * @param connectTimeoutMillis how long opening may take, in milliseconds
     */
    public static void apply(Bootstrap bootstrap, int connectTimeoutMillis) {
        bootstrap
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }
}
