package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TestRequestDecoder {
    private static final int MAX_LINES = 200;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

    private final AtomicBoolean paused = new AtomicBoolean();
    private final RequestDecoder decoder = new RequestDecoder(MAX_HEADER_BYTES, MAX_LINES, paused::get);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    // Describes each decoded message as "head", "last" or "rejected".
    private List<String> read() {
        List<String> messages = new ArrayList<>();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message.decoderResult().isFailure()) {
                messages.add("rejected");
            } else if (message instanceof HttpRequest) {
                messages.add("head");
            } else if (message instanceof LastHttpContent) {
                messages.add("last");
            } else if (message instanceof HttpContent) {
                messages.add("part");
            }
            ReferenceCountUtil.release(message);
        }
        return messages;
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {"a:\r\n", "a\r\n", ":\r\n", "a: b\r\n", " a\r\n"})
    void headWithTooManyLinesIsRejectedBeforeItEnds(String line) {
        send("GET / HTTP/1.1\r\nHost: h\r\n" + line.repeat(MAX_LINES));
        assertThat(read(), is(List.of("rejected")));
    }

    // Guards against lines that are counted anew with each read.
    @Test
    void linesOfSeveralReadsAreCountedTogether() {
        send("GET / HTTP/1.1\r\n");
        for (int i = 0; i < MAX_LINES; i++) {
            send("a:\r");
            send("\n");
        }
        assertThat(read(), is(List.of("rejected")));
    }

    @Test
    void headWithMostLinesIsDecoded() {
        send("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(MAX_LINES - 2) + "\r\n");
        assertThat(read(), is(List.of("head", "last")));
    }

    // Guards against lines of one request that count for the next.
    @Test
    void linesOfEachRequestAreCountedAlone() {
        String request = "GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(MAX_LINES - 10) + "\r\n";
        send("\r\n\r\n" + request + request + request);
        assertThat(read(), is(List.of("head", "last", "head", "last", "head", "last")));
    }

    // Guards against lines of a body that count as lines of a head.
    @Test
    void linesOfBodyAreNotCounted() {
        String body = "\n".repeat(4 * MAX_LINES);
        send("POST / HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertThat(read(), is(List.of("head", "last")));
    }

    @Test
    void trailersWithTooManyLinesAreRejected() {
        send(CHUNKED + "a:\r\n".repeat(MAX_LINES));
        assertThat(read(), is(List.of("head", "part", "rejected")));
    }

    @Test
    void trailersWithTooManyBytesAreRejected() {
        send(CHUNKED);
        for (int i = 0; i < 40; i++) {
            send("a: " + "b".repeat(MAX_HEADER_BYTES / 32) + "\r\n");
        }
        assertThat(read(), is(List.of("head", "part", "rejected")));
    }

    @Test
    void trailersAreDropped() {
        send(CHUNKED + "a: b\r\n\r\nGET / HTTP/1.1\r\n\r\n");
        assertThat(read(), is(List.of("head", "part", "last", "head", "last")));
    }

    @Test
    void nothingIsDecodedWhilePaused() {
        paused.set(true);
        send("GET / HTTP/1.1\r\n\r\n");
        assertThat(read(), is(empty()));
        paused.set(false);
        decoder.resume();
        assertThat(read(), is(List.of("head", "last")));
    }
}
