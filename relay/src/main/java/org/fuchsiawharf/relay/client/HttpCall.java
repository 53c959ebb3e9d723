package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The request of one call and its connection requirements.
 *
 * <p>The client releases the body's buffer. Otherwise immutable and thread-safe.
 *
 * @param address the address of the server
 * @param endpoint the name of the endpoint at the address, null if the server is not an endpoint
 * @param head the head of the request
 * @param body the body of the request, may be empty
 * @param expectedId the request id that the response must carry, null if responses carry no id
 * @param maxIdleNanos the longest idle time of a pooled connection, in nanoseconds; 0 to open a new connection
 * @param maxIdleConnections the number of idle connections to the server that may be kept after the call
 * @param maxResponseBytes the maximum size of the response with its head and framing, in bytes;
 *     {@link #UNLIMITED_BYTES} if the receiver of the body bounds it
 */
public record HttpCall(
        InetSocketAddress address,
        @Nullable String endpoint,
        HttpRequest head,
        ByteBuf body,
        @Nullable String expectedId,
        long maxIdleNanos,
        int maxIdleConnections,
        long maxResponseBytes) {
    /** The maximum size of a response whose receiver bounds the memory, such as by backpressure. */
    public static final long UNLIMITED_BYTES = Long.MAX_VALUE;
}
