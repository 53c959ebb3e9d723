package org.fuchsiawharf.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.http.JsonText;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Simulated platform: a directory of live and leaving endpoints that is updated with a lag, and a key-value service.
 *
 * <p>Thread-safe.
 */
public final class PlatformStandin implements AutoCloseable {
    private final Undertow server;
    private final StandinRuntime runtime;
    private final long lagMillis;
    private final StoreStandin store = new StoreStandin();
    private volatile boolean down;
    private volatile List<DirectoryEntry> directory = List.of();

    /**
     * Starts a platform with an empty directory and an empty key-value service.
     *
     * @param runtime the threads of the simulation, not null
     * @param port the TCP port, 0 for any free port
     * @param lagMillis the delay of directory updates, in milliseconds
     */
    public PlatformStandin(StandinRuntime runtime, int port, long lagMillis) {
        this.runtime = runtime;
        this.lagMillis = lagMillis;
        this.server = Undertow.builder()
                .setWorker(runtime.getWorker())
                .addHttpListener(port, "127.0.0.1")
                .setSocketOption(Options.BACKLOG, 1_024)
                .setHandler(Handlers.path()
                        .addPrefixPath("/v1/kv", store::handle)
                        .addExactPath("/v1/instances", this::handleList))
                .build();
        server.start();
    }

    private record DirectoryEntry(String name, String service, String zone, String host, int port, String state) {}

    private record Listing(List<DirectoryEntry> instances) {}

    /**
     * Gets the key-value service.
     *
     * @return the key-value service, never null
     */
    public StoreStandin getStore() {
        return store;
    }

    /**
     * Gets the platform's port.
     *
     * @return the TCP port
     */
    public int getPort() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Replaces the directory immediately.
     *
     * @param live the live endpoints, not null
     * @param leaving the leaving endpoints, not null
     */
    public void setDirectory(List<Endpoint> live, List<Endpoint> leaving) {
        List<DirectoryEntry> entries = new ArrayList<>();
        live.forEach(endpoint -> entries.add(toEntry(endpoint, "live")));
        leaving.forEach(endpoint -> entries.add(toEntry(endpoint, "leaving")));
        directory = List.copyOf(entries);
    }

    /**
     * Replaces the directory after the lag.
     *
     * @param live the live endpoints, not null
     * @param leaving the leaving endpoints, not null
     */
    public void setDirectoryAfterLag(List<Endpoint> live, List<Endpoint> leaving) {
        runtime.getScheduler().schedule(() -> setDirectory(live, leaving), lagMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets whether the directory and the key-value service are down.
     *
     * @param unavailable true if both are down
     */
    public void setDown(boolean unavailable) {
        down = unavailable;
        store.setDown(unavailable);
    }

    private void handleList(HttpServerExchange exchange) {
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        List<DirectoryEntry> entries = directory;
        String etag = "\"" + Integer.toHexString(entries.hashCode()) + "\"";
        exchange.getResponseHeaders().put(Headers.ETAG, etag);
        if (etag.equals(exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH))) {
            exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(JsonText.write(new Listing(entries)));
    }

    @Override
    public void close() {
        server.stop();
    }

    private static DirectoryEntry toEntry(Endpoint endpoint, String state) {
        return new DirectoryEntry(
                endpoint.name(), endpoint.service(), endpoint.zone(), endpoint.host(), endpoint.port(), state);
    }
}
