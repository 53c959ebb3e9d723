package org.fuchsiawharf.relay.client;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.relay.Failures;
import org.jspecify.annotations.Nullable;

/**
 * A client connection that carries one call at a time.
 *
 * <p>A successful response must carry the id of the current call, and so must any response on a connection that has
 * carried another call before: without an id it may be a copy of an earlier refusal. A response with another id is a late
 * duplicate response to an earlier request and is skipped. A call that did not succeed is not repeated on the connection,
 * since a copy of its first response carries the same id. A head with the status 101, below 100 or above 599 is no
 * response: the call fails as garbage. Other informational responses are skipped.
 *
 * <p>The connection is not reused after a late duplicate, after bytes that belong to no call, after a failed or cancelled
 * call, after a response that closes the connection, or after a response that arrived before the request was completely
 * written. A body without a length is complete only if the server has closed its side in order: a reset may be met by a
 * write, which reports no failed read. It is incomplete also if the response began before the request was completely
 * written: a server that ends its side then may have given up. If the request has a body, a reset that follows the end
 * is awaited for a short time. A call fails as garbage if too many bytes arrive that are neither the head nor the
 * body of its response, or if the response exceeds the maximum size of the call. Confined to the I/O thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Idle timeout if the server announces none in a Keep-Alive field; shorter than the usual timeouts of servers. */
    private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 1_000_000_000L;
    /** Subtracted from the idle timeout that the server announces, to allow for network latency. */
    private static final long IDLE_TIMEOUT_MARGIN_NANOS = 500_000_000L;

    /** Maximum number of bytes received without a response head or body data: the largest head. */
    private static final int MAX_FRAMING_BYTES = ResponseDecoder.MAX_LINE_BYTES + ResponseDecoder.MAX_HEADER_BYTES;
    /** Maximum size of the bodies of responses to earlier requests that one call skips. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    /** Time after the end of the server's side within which its reset arrives: a few round trips. */
    private static final long RESET_WAIT_MILLIS = 20;

    private static final String EMPTY_LINE = "\r\n";

    /** Number of calls without success after which the connection is not reused. */
    private static final int MAX_REFUSED_IDS = 32;

    private final HttpClient client;
    private final ResponseDecoder decoder;
    private final Channel channel;
    private @Nullable OpenCall currentCall;
    private @Nullable ChannelFuture requestWritten;
    private final Set<String> refusedIds = new HashSet<>();
    private boolean carriedCall;
    private boolean carriedEarlierCall;
    private boolean skippingResponse;
    private boolean reuseForbidden;
    private boolean readFailed;
    private boolean responseComplete;
    /** Whether the whole request had been passed to the operating system when the head of the response arrived. */
    private boolean writtenBeforeResponse;

    private boolean requestHasBody;
    /** Whether the response has ended with its connection, and a reset that may follow is awaited. */
    private boolean awaitingReset;

    /** Number of bytes received on the connection when a response head or body data was last decoded. */
    private long receivedBytesAtProgress;

    private long receivedBytesAtSend;

    private int skippedBytes;
    private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
    private long idleSinceNanos;
    private int maxIdleConnections;

    ClientConnection(HttpClient client, ResponseDecoder decoder, Channel channel) {
        this.client = client;
        this.decoder = decoder;
        this.channel = channel;
    }

    // -----------------------------------------------------------------------

    /** Sends the request of a call on this connection, which must be idle. */
    void send(OpenCall next) {
        currentCall = next;
        carriedEarlierCall = carriedCall;
        carriedCall = true;
        responseComplete = false;
        receivedBytesAtProgress = decoder.getReceivedBytes();
        receivedBytesAtSend = receivedBytesAtProgress;
        skippedBytes = 0;
        next.attach(this);
        decoder.setRequestMethod(next.getMethod());
        HttpCall httpCall = next.httpCall;
        maxIdleConnections = httpCall.maxIdleConnections();
        channel.write(httpCall.head()).addListener(this::onWritten);
        ByteBuf body = httpCall.body();
        requestHasBody = body.isReadable();
        LastHttpContent last =
                body.isReadable() ? new DefaultLastHttpContent(body) : LastHttpContent.EMPTY_LAST_CONTENT;
        if (!body.isReadable()) {
            body.release();
        }
        ChannelPromise promise = channel.newPromise();
        requestWritten = promise;
        channel.writeAndFlush(last, promise).addListener(this::onWritten);
    }

    // An encoder that fails leaves the connection open, and no response would ever arrive.
    private void onWritten(Future<?> write) {
        if (!write.isSuccess() && channel.isActive()) {
            fail(CallFailure.LOST, "the request was not written: " + Failures.describe(write.cause()));
        }
    }

    /** Checks whether another call can be sent on this connection. */
    boolean isReusable(long maxIdleNanos) {
        long idleNanos = System.nanoTime() - idleSinceNanos;
        return currentCall == null
                && !reuseForbidden
                && channel.isActive()
                && idleNanos < Math.min(maxIdleNanos, idleTimeoutNanos)
                && !decoder.hasUnparsedBytes();
    }

    /** Checks whether a call with an id has been carried without success. */
    boolean hasRefused(@Nullable String id) {
        return refusedIds.contains(id);
    }

    /** Lets the connection end with its current call. */
    void forbidReuse() {
        reuseForbidden = true;
    }

    void close() {
        reuseForbidden = true;
        channel.close();
    }

    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Gets the number of idle connections to the server that may be kept after the last call. */
    int getMaxIdleConnections() {
        return maxIdleConnections;
    }

    Channel getChannel() {
        return channel;
    }

    // -----------------------------------------------------------------------

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            OpenCall openCall = currentCall;
            if (openCall == null || openCall.isEnded() || responseComplete) {
                reuseForbidden = true;
            } else {
                openCall.markReceived();
                if (message instanceof HttpResponse response) {
                    onHead(openCall, response);
                }
                if (message instanceof HttpContent content && currentCall != null) {
                    onContent(openCall, content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(OpenCall openCall, HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(
                    CallFailure.GARBAGE,
                    "malformed response: " + response.decoderResult().cause());
            return;
        }
        // No call asks for an upgrade, so that 101 is as invalid as a code of no class.
        HttpStatusClass statusClass = response.status().codeClass();
        if (statusClass == HttpStatusClass.UNKNOWN
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail(CallFailure.GARBAGE, "invalid status " + response.status().code());
            return;
        }
        boolean informational = statusClass == HttpStatusClass.INFORMATIONAL;
        String expected = openCall.httpCall.expectedId();
        String id = expected == null ? null : response.headers().get(client.getRequestIdField());
        boolean forOtherRequest = id != null && !id.equals(expected);
        skippingResponse = informational || forOtherRequest;
        if (forOtherRequest) {
            // A late duplicate response to an earlier request; the response to the current call follows it.
            reuseForbidden = true;
        }
        if (skippingResponse) {
            return;
        }
        boolean success = statusClass == HttpStatusClass.SUCCESS;
        if (expected != null && id == null && (success || carriedEarlierCall)) {
            fail(CallFailure.GARBAGE, "the response has no request id");
            return;
        }
        if (expected != null && !success) {
            refusedIds.add(expected);
            reuseForbidden |= refusedIds.size() > MAX_REFUSED_IDS;
        }
        updateKeepAlive(response);
        ChannelFuture writeFuture = requestWritten;
        writtenBeforeResponse = writeFuture != null && writeFuture.isSuccess();
        reuseForbidden |= !writtenBeforeResponse;
        receivedBytesAtProgress = decoder.getReceivedBytes();
        client.onHead(channel, response.status().code(), response.headers());
        openCall.getListener().onHead(response.status().code(), response.headers());
    }

    private void updateKeepAlive(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)) {
            reuseForbidden = true;
        }
        String value = response.headers().get("keep-alive");
        int timeoutIndex = value == null ? -1 : value.indexOf("timeout=");
        if (value != null && timeoutIndex >= 0) {
            int end = timeoutIndex + "timeout=".length();
            int start = end;
            while (end < value.length() && Character.isDigit(value.charAt(end))) {
                end++;
            }
            if (end > start && end - start < 6) {
                idleTimeoutNanos =
                        Long.parseLong(value.substring(start, end)) * 1_000_000_000L - IDLE_TIMEOUT_MARGIN_NANOS;
            }
        }
    }

    private void onContent(OpenCall openCall, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(
                    CallFailure.GARBAGE,
                    "malformed body: " + content.decoderResult().cause());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            receivedBytesAtProgress = decoder.getReceivedBytes();
        }
        if (skippingResponse) {
            skippingResponse = !last;
            skippedBytes += content.content().readableBytes();
            if (skippedBytes > MAX_SKIPPED_BYTES) {
                fail(CallFailure.GARBAGE, "the responses to earlier requests exceed " + MAX_SKIPPED_BYTES + " bytes");
            }
            return;
        }
        if (content.content().isReadable()) {
            openCall.getListener().onData(content.content());
        }
        if (last && (readFailed || decoder.isAborted())) {
            fail(CallFailure.LOST, "the connection was reset within the body");
        } else if (last && decoder.isInputEnded() && !writtenBeforeResponse) {
            fail(CallFailure.LOST, "the response ended with its connection and began before the request was written");
        } else if (last && decoder.isInputEnded() && requestHasBody) {
            awaitReset(openCall);
        } else if (last) {
            // The connection returns to the pool in channelReadComplete, so that bytes after the response are detected
            // first.
            complete(openCall);
        }
    }

    private void complete(OpenCall openCall) {
        responseComplete = true;
        if (openCall.markEnded()) {
            openCall.getListener().onComplete();
        }
    }

    // A side that has ended is not read again, so that only a write meets the reset of a server that has left a part of
    // the request unread. No further response can follow, and an empty line after a request is ignored.
    private void awaitReset(OpenCall openCall) {
        awaitingReset = true;
        ChannelHandlerContext encoder = channel.pipeline().context(HttpRequestEncoder.class);
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!openCall.isEnded()) {
                                encoder.writeAndFlush(Unpooled.copiedBuffer(EMPTY_LINE, StandardCharsets.US_ASCII))
                                        .addListener(write -> endAfterReset(openCall, write));
                            }
                        },
                        RESET_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void endAfterReset(OpenCall openCall, Future<?> write) {
        if (write.isSuccess()) {
            complete(openCall);
        } else {
            fail(CallFailure.LOST, "the connection was reset after its end: " + write.cause());
        }
        close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ResponseDecoder.READ_DECODED && !responseComplete) {
            OpenCall openCall = currentCall;
            if (openCall != null && !openCall.isEnded()) {
                openCall.getListener().onReadEnd();
            }
            checkReceivedBytes();
        }
        if (event instanceof ChannelInputShutdownEvent && !awaitingReset) {
            close();
        }
        context.fireUserEventTriggered(event);
    }

    private void checkReceivedBytes() {
        OpenCall openCall = currentCall;
        long maxBytes = openCall == null ? HttpCall.UNLIMITED_BYTES : openCall.httpCall.maxResponseBytes();
        if (decoder.getReceivedBytes() - receivedBytesAtSend > maxBytes) {
            fail(CallFailure.GARBAGE, "the response exceeds " + maxBytes + " bytes");
        }
        if (decoder.getReceivedBytes() - receivedBytesAtProgress > MAX_FRAMING_BYTES) {
            fail(CallFailure.GARBAGE, "more than " + MAX_FRAMING_BYTES + " bytes without a response head or body data");
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (responseComplete && currentCall != null) {
            currentCall = null;
            skippingResponse = false;
            idleSinceNanos = System.nanoTime();
            if (reuseForbidden || decoder.hasUnparsedBytes() || decoder.isInputEnded() || !channel.isActive()) {
                channel.close();
            } else {
                channel.config().setAutoRead(true);
                client.addIdle(this);
            }
        } else if (currentCall == null && reuseForbidden) {
            channel.close();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check(cause);
        readFailed = true;
        fail(CallFailure.LOST, String.valueOf(cause.getMessage()));
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reuseForbidden = true;
        client.removeIdle(this);
        fail(CallFailure.LOST, "the connection was closed before the response was complete");
    }

    private void fail(CallFailure failure, String detail) {
        OpenCall openCall = currentCall;
        reuseForbidden = true;
        if (openCall != null && openCall.markEnded()) {
            currentCall = null;
            openCall.getListener().onFailed(failure, detail);
            channel.close();
        }
    }
}
