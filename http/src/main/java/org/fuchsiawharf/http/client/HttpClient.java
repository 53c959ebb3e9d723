package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Sends HTTP/1.1 requests over persistent connections, with at most one request in flight on each.
 *
 * <p>Each I/O thread has its own pool of idle connections. Thread-safe.
 */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_IDLE_PER_TARGET = 64;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<XnioIoThread, Map<HttpTarget, Deque<ClientConnection>>> idleByThread = new ConcurrentHashMap<>();

    /**
     * Starts a client.
     *
     * @param name the name of the I/O threads, not null
     * @param ioThreads the number of I/O threads, at least 1
     */
    public HttpClient(String name, int ioThreads) {
        try {
            this.worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "http-" + name)
                            .set(Options.WORKER_IO_THREADS, ioThreads)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // -----------------------------------------------------------------------

    /**
     * Sends a POST request.
     *
     * @param target the address of the server, not null
     * @param path the path, not null
     * @param headers the header fields besides Host and Content-Length, not null
     * @param body the body, not null
     * @param useNewConnection whether to open a new connection, since the server may be closing an idle one
     * @param handler receives the response, not null
     * @return the call, never null
     */
    public HttpCall post(
            HttpTarget target,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            boolean useNewConnection,
            HttpResponseHandler handler) {
        return send(Methods.POST, target, path, headers, body, useNewConnection, handler);
    }

    /**
     * Sends a PUT request on a new connection.
     *
     * @param target the address of the server, not null
     * @param path the path, not null
     * @param headers the header fields besides Host and Content-Length, not null
     * @param body the body, not null
     * @param handler receives the response, not null
     * @return the call, never null
     */
    public HttpCall put(
            HttpTarget target, String path, Map<HttpString, String> headers, byte[] body, HttpResponseHandler handler) {
        return send(Methods.PUT, target, path, headers, body, true, handler);
    }

    /**
     * Sends a GET request.
     *
     * @param target the address of the server, not null
     * @param path the path, not null
     * @param headers the header fields besides Host, not null
     * @param handler receives the response, not null
     * @return the call, never null
     */
    public HttpCall get(HttpTarget target, String path, Map<HttpString, String> headers, HttpResponseHandler handler) {
        return send(Methods.GET, target, path, headers, new byte[0], false, handler);
    }

    /**
     * Gets an I/O thread on which short tasks can be scheduled.
     *
     * @return an I/O thread, never null
     */
    public XnioIoThread getIoThread() {
        return worker.getIoThread();
    }

    @Override
    public void close() {
        idleByThread.forEach((thread, byTarget) -> thread.execute(() -> closeAll(byTarget)));
        worker.shutdown();
    }

    private static void closeAll(Map<HttpTarget, Deque<ClientConnection>> byTarget) {
        byTarget.values()
                .forEach(idleConnections -> List.copyOf(idleConnections).forEach(IoUtils::safeClose));
    }

    private HttpCall send(
            HttpString method,
            HttpTarget target,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            boolean useNewConnection,
            HttpResponseHandler handler) {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        headers.forEach((name, value) -> request.getRequestHeaders().put(name, value));
        HttpCall call = new HttpCall(this, target, request, body, handler, worker.getIoThread());
        call.start(useNewConnection);
        return call;
    }

    // -----------------------------------------------------------------------

    ByteBufferPool getBuffers() {
        return buffers;
    }

    void connect(HttpTarget target, XnioIoThread ioThread, ClientCallback<ClientConnection> callback) {
        UndertowClient.getInstance()
                .connect(callback, target.toUri(), ioThread, buffers, OptionMap.create(Options.TCP_NODELAY, true));
    }

    @Nullable
    ClientConnection takeIdle(HttpTarget target, XnioIoThread ioThread) {
        Deque<ClientConnection> idleConnections = getIdleConnections(target, ioThread);
        while (!idleConnections.isEmpty()) {
            ClientConnection connection = idleConnections.removeLast();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    void putIdle(HttpTarget target, XnioIoThread ioThread, ClientConnection connection) {
        Deque<ClientConnection> idleConnections = getIdleConnections(target, ioThread);
        if (idleConnections.size() >= MAX_IDLE_PER_TARGET) {
            IoUtils.safeClose(connection);
        } else {
            connection.getCloseSetter().set(c -> idleConnections.remove(connection));
            idleConnections.addLast(connection);
        }
    }

    // Each inner map is accessed only by its own I/O thread.
    private Deque<ClientConnection> getIdleConnections(HttpTarget target, XnioIoThread ioThread) {
        return idleByThread
                .computeIfAbsent(ioThread, t -> new HashMap<>())
                .computeIfAbsent(target, t -> new ArrayDeque<>());
    }
}
