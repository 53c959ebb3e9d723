package org.fuchsiawharf.relay.edge;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import org.jspecify.annotations.Nullable;

/**
 * Decodes callers' requests and rejects those whose message length is ambiguous or that have too many lines.
 *
 * <p>The lines of a head are counted before they are decoded, since each takes many times its length as a field.
 * Trailers are counted with the lines of their head, and dropped. Nothing is decoded while the connection does not take
 * requests. Confined to the I/O thread.
 */
public final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 16_384;
    /** Memory of a request without fields. */
    private static final int REQUEST_BYTES = 1_024;
    /** Memory of a field beside its characters: the entry of the map and two strings. */
    private static final int LINE_BYTES = 160;
    /** Copies of the characters of a head: the decoded strings, and the names as strings of another class. */
    private static final int CHARACTER_COPIES = 2;

    private final int maxHeaderLines;
    private final BooleanSupplier paused;
    private @Nullable ChannelHandlerContext decoderContext;
    private boolean readingHead = true;
    private boolean rejected;
    private int lineCount;
    private int headBytes;
    private int maxHeadBytes;
    private long lastHeadBytes;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the maximum size of a head and of its trailers, in bytes
     * @param maxHeaderLines the maximum number of lines of a head and its trailers together
     * @param paused whether the connection takes no further requests, not null
     */
    public RequestDecoder(int maxHeaderBytes, int maxHeaderLines, BooleanSupplier paused) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeaderBytes)
                .setStrictLineParsing(true)
                .setTrailersFactory(new DroppedTrailers.Factory()));
        this.maxHeaderLines = maxHeaderLines;
        this.paused = paused;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        decoderContext = context;
    }

    /** Decodes what was received while the connection took no requests. */
    public void resume() {
        ChannelHandlerContext context = decoderContext;
        if (context != null && actualReadableBytes() > 0) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    /** Checks whether a head was rejected because it has too many lines. */
    boolean isRejected() {
        return rejected;
    }

    /**
     * Gets the number of received bytes that are not decoded.
     *
     * @return the number of bytes
     */
    public int getUndecodedBytes() {
        return actualReadableBytes();
    }

    /**
     * Gets the memory of the decoder: received bytes, the buffer for lines, and the head that is not complete.
     *
     * @return the memory, in bytes
     */
    public long getHeldBytes() {
        return internalBuffer().capacity() + maxHeadBytes + (readingHead ? estimateHead() : 0);
    }

    /** Gets the memory of the head that was decoded last. */
    long getLastHeadBytes() {
        return lastHeadBytes;
    }

    private long estimateHead() {
        return REQUEST_BYTES + (long) CHARACTER_COPIES * headBytes + (long) LINE_BYTES * lineCount;
    }

    // -----------------------------------------------------------------------

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
        } else if (paused.getAsBoolean()) {
            return;
        } else if (readingHead && lineCount + countHeadLines(buffer) > maxHeaderLines) {
            rejected = true;
            buffer.skipBytes(buffer.readableBytes());
            HttpMessage invalid = createInvalidMessage();
            invalid.setDecoderResult(DecoderResult.failure(tooManyLines()));
            out.add(invalid);
        } else {
            decodeCounted(context, buffer, out);
        }
    }

    private void decodeCounted(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        if (readingHead) {
            int end = buffer.readerIndex();
            headBytes += end - start;
            maxHeadBytes = Math.max(maxHeadBytes, headBytes);
            lineCount += countLines(buffer, start, end);
        }
        for (Object message : out) {
            if (message instanceof HttpRequest) {
                lastHeadBytes = estimateHead();
                readingHead = false;
            }
            if (message instanceof LastHttpContent) {
                readingHead = true;
                headBytes = 0;
                lineCount = 0;
            }
        }
    }

    // Line ends before a request are skipped by the decoder and belong to no head.
    private int countHeadLines(ByteBuf buffer) {
        int end = buffer.writerIndex();
        int start = lineCount > 0 || headBytes > 0
                ? buffer.readerIndex()
                : buffer.forEachByte(value -> Character.isISOControl(value) || value == ' ');
        int lines = 0;
        while (start >= 0 && start < end && lines <= maxHeaderLines) {
            int lineEnd = buffer.indexOf(start, end, (byte) '\n');
            boolean lastLine = lineEnd < 0 || (lineEnd - start <= 1 && lines + lineCount > 0);
            lines++;
            start = lastLine ? end : lineEnd + 1;
        }
        return lines;
    }

    private static int countLines(ByteBuf buffer, int start, int end) {
        int lines = 0;
        int next = buffer.forEachByte(start, end - start, ByteProcessor.FIND_LF);
        while (next >= 0) {
            lines++;
            next = buffer.forEachByte(next + 1, end - next - 1, ByteProcessor.FIND_LF);
        }
        return lines;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (!readingHead && ++lineCount > maxHeaderLines) {
            throw tooManyLines();
        }
        return super.splitHeaderName(line, start, length);
    }

    private TooLongHttpHeaderException tooManyLines() {
        return new TooLongHttpHeaderException("the head and the trailers exceed " + maxHeaderLines + " lines");
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the request has both a length and chunks");
    }

    /** The trailers of a request, which are not forwarded. */
    private static final class DroppedTrailers extends DefaultHttpHeaders {
        @Override
        public HttpHeaders add(String name, Object value) {
            return this;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            return this;
        }

        private static final class Factory implements HttpHeadersFactory {
            @Override
            public HttpHeaders newHeaders() {
                return new DroppedTrailers();
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new DroppedTrailers();
            }
        }
    }
}
