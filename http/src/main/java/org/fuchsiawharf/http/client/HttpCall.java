package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request and receives its response on one I/O thread.
 *
 * <p>The handler is notified exactly once of either the end or a failure, unless the call is cancelled. A response that
 * arrives faster than it is handled does not block the thread's other calls. A status below 200 or above 599 is no
 * response: the call fails. So does a call whose response ends with its connection, if it began before the request was
 * written: a server that ends its side then may have given up. Confined to its I/O thread, except for {@link #cancel},
 * which is thread-safe.
 */
public final class HttpCall {
    // Bytes that a call may handle before the thread's other calls are served: a few milliseconds of parsing.
    private static final int READ_QUANTUM_BYTES = 256 << 10;
    // The shortest delay that lets the thread select; with a full quantum between delays, it allows 256 MB/s.
    private static final long READ_DELAY_MILLIS = 1;

    /** The least status of a response; Undertow skips an informational response only if its status is 100. */
    private static final int MIN_STATUS = 200;

    private static final int MAX_STATUS = 599;
    private static final Set<Integer> BODILESS_STATUSES = Set.of(StatusCodes.NO_CONTENT, StatusCodes.NOT_MODIFIED);

    private final HttpClient client;
    private final HttpTarget target;
    private final ClientRequest request;
    private final byte[] body;
    private final HttpResponseHandler handler;
    private final XnioIoThread ioThread;

    private @Nullable ClientConnection connection;
    private boolean possiblySent;
    private boolean requestWritten;
    /** Whether the response ends with its connection and began before the request was written. */
    private boolean endUnknown;

    private boolean reading;
    private boolean readDelayed;
    private boolean connectionClosed;
    private boolean ended;

    HttpCall(
            HttpClient client,
            HttpTarget target,
            ClientRequest request,
            byte[] body,
            HttpResponseHandler handler,
            XnioIoThread ioThread) {
        this.client = client;
        this.target = target;
        this.request = request;
        this.body = body;
        this.handler = handler;
        this.ioThread = ioThread;
    }

    /** Cancels the call: closes its connection and stops notifying its handler. */
    public void cancel() {
        try {
            ioThread.execute(this::cancelOnIoThread);
        } catch (RejectedExecutionException e) {
            // The client is closing, and closes all connections.
            return;
        }
    }

    private void cancelOnIoThread() {
        if (!ended) {
            ended = true;
            abort();
        }
    }

    // -----------------------------------------------------------------------

    void start(boolean useNewConnection) {
        ioThread.execute(() -> {
            ClientConnection idle = useNewConnection ? null : client.takeIdle(target, ioThread);
            if (idle != null) {
                send(idle);
            } else {
                client.connect(target, ioThread, new ConnectCallback());
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
        opened.sendRequest(request, new SendCallback());
    }

    private void write(ClientExchange exchange) {
        possiblySent = true;
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
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(this::onWritten, (c, e) -> fail(e)));
                channel.resumeWrites();
            } else {
                onWritten(channel);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void onWritten(StreamSinkChannel channel) {
        requestWritten = true;
        channel.suspendWrites();
    }

    private void readHead(ClientExchange exchange) {
        if (ended) {
            return;
        }
        int status = exchange.getResponse().getResponseCode();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            fail(new IOException("invalid status " + status));
            return;
        }
        HeaderMap fields = exchange.getResponse().getResponseHeaders();
        boolean framed = fields.contains(Headers.CONTENT_LENGTH) || fields.contains(Headers.TRANSFER_ENCODING);
        endUnknown = !requestWritten && !framed && !BODILESS_STATUSES.contains(status);
        handler.onHead(status, fields);
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(c -> readBody(channel));
        readBody(channel);
    }

    // A response may be delimited by the close of its connection, which is reported before the end of the body is read.
    private void readBody(StreamSourceChannel channel) {
        if (readDelayed || ended) {
            return;
        }
        reading = true;
        readAvailable(channel);
        reading = false;
        if (connectionClosed && !ended && !readDelayed) {
            fail(new ClosedChannelException());
        }
    }

    private void onClosed() {
        connectionClosed = true;
        if (!reading && !readDelayed) {
            fail(new ClosedChannelException());
        }
    }

    private void readAvailable(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = client.getBuffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int handledBytes = 0;
            while (!ended) {
                if (handledBytes >= READ_QUANTUM_BYTES) {
                    delayRead(channel);
                    return;
                }
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead < 0) {
                    end();
                    return;
                }
                if (bytesRead == 0) {
                    channel.resumeReads();
                    return;
                }
                handledBytes += bytesRead;
                buffer.flip();
                handler.onData(buffer);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    // Uses a delay, because a task that is due at once runs before the thread selects again and blocks its other calls.
    private void delayRead(StreamSourceChannel channel) {
        channel.suspendReads();
        readDelayed = true;
        try {
            ioThread.executeAfter(
                    () -> {
                        readDelayed = false;
                        readBody(channel);
                    },
                    READ_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The client is closing, and closes all connections.
            readDelayed = false;
        }
    }

    private void end() {
        if (endUnknown) {
            fail(new IOException("the response ended with its connection and began before the request was written"));
        } else {
            complete();
        }
    }

    private void complete() {
        ended = true;
        ClientConnection usedConnection = connection;
        if (usedConnection != null && usedConnection.isOpen() && requestWritten) {
            client.putIdle(target, ioThread, usedConnection);
        } else {
            abort();
        }
        handler.onEnd();
    }

    private void fail(IOException e) {
        if (!ended) {
            ended = true;
            abort();
            handler.onFailure(possiblySent, e);
        }
    }

    // Closes at once. Undertow's close first drains the response for up to 10 s, during which the peer sees no close.
    private void abort() {
        ClientConnection openConnection = connection;
        if (openConnection == null) {
            return;
        }
        try {
            IoUtils.safeClose(openConnection.performUpgrade());
        } catch (IOException | IllegalStateException e) {
            IoUtils.safeClose(openConnection);
        }
    }

    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection opened) {
            send(opened);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private final class SendCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ResponseCallback());
            write(exchange);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private final class ResponseCallback implements ClientCallback<ClientExchange> {
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
