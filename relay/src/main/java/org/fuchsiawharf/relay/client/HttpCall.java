package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * What is sent in one call, and on which kind of connection.
 *
 * <p>The buffer is released by the client. Otherwise immutable and thread-safe.
 *
 * @param address where to
 * @param head the request's head
 * @param body the request's body, maybe empty
 * @param expectedId the request's id, which the response must carry; null if responses carry none
 * @param maxIdleNanos how long a kept connection may have been idle, in nanoseconds; 0 for a new connection
 */
public record HttpCall(
        InetSocketAddress address, HttpRequest head, ByteBuf body, @Nullable String expectedId, long maxIdleNanos) {}
