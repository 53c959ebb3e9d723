package org.fuchsiawharf.relay.edge;

import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.relay.EndpointResponse;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class TestFailedWrites {
    private static final long TIMEOUT_SECONDS = 5;

    private final IoThread io = new IoThread();
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final DecisionLog log = (event, fields) -> lines.add(event + " " + Arrays.toString(fields));
    // The server needs no instance, since no task of its decision loop is run.
    @SuppressWarnings("NullAway")
    private final CallerServer server = new CallerServer(
            io, FieldNames.DEFAULT, null, task -> {}, CallerBounds.of(1L << 30, 1_000), log, Meters.NONE);

    private final CallerConnection connection = new CallerConnection(server);
    private final DefaultFullHttpRequest request =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a", Unpooled.buffer());

    TestFailedWrites() {
        request.headers().set("host", "h.example").set("wharf-request-id", "id-1");
    }

    @AfterEach
    void stop() {
        io.close();
    }

    // -----------------------------------------------------------------------

    @Test
    void responseThatFailsOnIoThreadClosesConnection() throws Exception {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        CountDownLatch closed = new CountDownLatch(1);
        channel.closeFuture().addListener(done -> closed.countDown());
        EndpointResponse unsupported = () -> 200;
        new HttpCallerExchange(connection, server, request, request.content()).relay(unsupported);
        assertThat(closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(lines.toString(), containsString("request.failed [request, id-1"));
    }

    @Test
    void responseThatCannotBeEncodedClosesConnection() {
        EmbeddedChannel channel = new EmbeddedChannel(new FailingEncoder(), connection);
        channel.writeInbound(request);
        connection.writeResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        assertThat(channel.isOpen(), is(false));
        assertThat(lines.toString(), containsString("caller.connection_failed"));
    }

    @Test
    void eventsThatCannotBeEncodedCloseConnection() {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(request);
        connection.startStream(200, new DefaultHttpHeaders());
        channel.pipeline().addFirst(new FailingEncoder());
        connection.writeEvents(Unpooled.copiedBuffer(new byte[1]));
        assertThat(channel.isOpen(), is(false));
        assertThat(lines.toString(), containsString("caller.connection_failed"));
    }

    private static final class FailingEncoder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            throw new OutOfMemoryError("injected");
        }
    }
}
