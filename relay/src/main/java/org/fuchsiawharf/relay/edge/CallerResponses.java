package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Builds complete responses to callers, and counts what of them is unread.
 *
 * <p>Stateless; used on the I/O thread.
 */
final class CallerResponses {
    private CallerResponses() {}

    /**
     * Builds the response to a request.
     *
     * @param method the method of the request, not null
     * @param status the status, not null
     * @param fields the header fields, not null
     * @param content the body, whose owner is the response from then on, not null
     * @return the response, never null
     */
    static FullHttpResponse create(HttpMethod method, HttpResponseStatus status, HttpHeaders fields, ByteBuf content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(fields);
        if (!HttpMethod.HEAD.equals(method) || !fields.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(response, content.readableBytes());
        }
        return response;
    }

    /**
     * Builds the last response of a connection, whose request was not accepted.
     *
     * @param status the status, not null
     * @param detail the reason, not null
     * @return the response, never null
     */
    static FullHttpResponse createRejection(HttpResponseStatus status, String detail) {
        ByteBuf content = Unpooled.copiedBuffer(detail, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, content.readableBytes());
        return response;
    }

    /**
     * Counts the bytes of responses that have not been passed to the operating system.
     *
     * @param channel the caller's connection, not null
     * @return the number of bytes
     */
    static long countUnwrittenBytes(Channel channel) {
        WriteBufferWaterMark waterMark = channel.config().getWriteBufferWaterMark();
        return channel.isWritable()
                ? waterMark.high() - channel.bytesBeforeUnwritable()
                : waterMark.low() + channel.bytesBeforeWritable();
    }
}
