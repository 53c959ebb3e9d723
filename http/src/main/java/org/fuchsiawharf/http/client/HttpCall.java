package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One exchange of a request and its response on one I/O thread.
 *
 * <p>Its handler hears either the end or a failure, exactly once, unless the call was cancelled. A response that
 * comes in faster than it is handled never keeps the thread from its other calls. Confined to its I/O thread, but
 * for {@link #cancel}, which any thread may call.
 */
public final class HttpCall {
    // What one call may handle before the thread's other calls have their turn: a few milliseconds of parsing.
    private static final int TURN_BYTES = 256 << 10;
    // The shortest pause that lets the thread select; at a full turn each it allows 256 MB/s.
    private static final long PAUSE_MILLIS = 1;

    private final HttpClient client;
    private final HttpTarget target;
    private final ClientRequest request;
    private final byte[] body;
    private final HttpHandlerCallbacks handler;
    private final XnioIoThread thread;

    private @Nullable ClientConnection connection;
    private boolean sent;
    private boolean written;
    private boolean reading;
    private boolean givesWay;
    private boolean closed;
    private boolean ended;

    HttpCall(
            HttpClient client,
            HttpTarget target,
            ClientRequest request,
            byte[] body,
            HttpHandlerCallbacks handler,
            XnioIoThread thread) {
        this.client = client;
        this.target = target;
        this.request = request;
        this.body = body;
        this.handler = handler;
        this.thread = thread;
    }

    /** Ends the call; its connection is closed and its handler hears nothing more. */
    public void cancel() {
        try {
            thread.execute(this::cancelNow);
        } catch (RejectedExecutionException e) {
            // The client is closing, and closes every connection.
            return;
        }
    }

    private void cancelNow() {
        if (!ended) {
            ended = true;
            abort();
        }
    }

    // -----------------------------------------------------------------------

    void start(boolean freshConnection) {
        thread.execute(() -> {
            ClientConnection idle = freshConnection ? null : client.takeIdle(target, thread);
            if (idle != null) {
                send(idle);
            } else {
                client.connect(target, thread, new OnConnected());
            }
        });
    }

    private void send(ClientConnection opened) {
        connection = opened;
        if (ended) {
            IoUtils.safeClose(opened);
            return;
        }
        opened.getCloseSetter().set(c -> onClosed());
        request.getRequestHeaders().put(Headers.HOST, target.toString());
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        opened.sendRequest(request, new OnSendable());
    }

    private void write(ClientExchange exchange) {
        sent = true;
        StreamSinkChannel channel = exchange.getRequestChannel();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        channel.getWriteSetter().set(c -> writeRest(channel, buffer));
        writeRest(channel, buffer);
    }

    private void writeRest(StreamSinkChannel channel, ByteBuffer buffer) {
        try {
            while (buffer.hasRemaining()) {
                if (channel.write(buffer) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            written = true;
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                StreamSinkChannel::suspendWrites, (c, e) -> fail(e)));
                channel.resumeWrites();
            } else {
                channel.suspendWrites();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void readHead(ClientExchange exchange) {
        if (ended) {
            return;
        }
        handler.onHead(
                exchange.getResponse().getResponseCode(), exchange.getResponse().getResponseHeaders());
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(c -> readBody(channel));
        readBody(channel);
    }

    // A response may end with the close of its connection, which is heard of before the end of the body is read.
    private void readBody(StreamSourceChannel channel) {
        if (givesWay || ended) {
            return;
        }
        reading = true;
        readAvailable(channel);
        reading = false;
        if (closed && !ended && !givesWay) {
            fail(new ClosedChannelException());
        }
    }

    private void onClosed() {
        closed = true;
        if (!reading && !givesWay) {
            fail(new ClosedChannelException());
        }
    }

    private void readAvailable(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = client.getBuffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int handled = 0;
            while (!ended) {
                if (handled >= TURN_BYTES) {
                    giveWay(channel);
                    return;
                }
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    end();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                handled += count;
                buffer.flip();
                handler.onData(buffer);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    // A task that is due at once would run before the thread selects again, and so let no other call in.
    private void giveWay(StreamSourceChannel channel) {
        channel.suspendReads();
        givesWay = true;
        try {
            thread.executeAfter(
                    () -> {
                        givesWay = false;
                        readBody(channel);
                    },
                    PAUSE_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The client is closing, and closes every connection.
            givesWay = false;
        }
    }

    private void end() {
        ended = true;
        ClientConnection used = connection;
        if (used != null && used.isOpen() && written) {
            client.putIdle(target, thread, used);
        } else {
            abort();
        }
        handler.onEnd();
    }

    private void fail(IOException e) {
        if (!ended) {
            ended = true;
            abort();
            handler.onFailure(sent, e);
        }
    }

    // Closes at once. The client's own close first drains the response, for up to 10 s, which hides it from the peer.
    private void abort() {
        ClientConnection open = connection;
        if (open == null) {
            return;
        }
        try {
            IoUtils.safeClose(open.performUpgrade());
        } catch (IOException | IllegalStateException e) {
            IoUtils.safeClose(open);
        }
    }

    private final class OnConnected implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection opened) {
            send(opened);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private final class OnSendable implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new OnResponse());
            write(exchange);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private final class OnResponse implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            readHead(exchange);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }
}
