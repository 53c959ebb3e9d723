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
 * The platform: a list of live and leaving endpoints that lags behind the truth, and a key-value service.
 *
 * <p>Thread-safe.
 */
public final class PlatformStandin implements AutoCloseable {
    private final Undertow server;
    private final StandinRuntime runtime;
    private final long lagMillis;
    private final StoreStandin values = new StoreStandin();
    private volatile boolean down;
    private volatile List<Line> listed = List.of();

    /**
     * Starts a platform without endpoints and values.
     *
     * @param runtime its threads, not null
     * @param port its TCP port, 0 for any free one
     * @param lagMillis how long a change takes to show, in milliseconds
     */
    public PlatformStandin(StandinRuntime runtime, int port, long lagMillis) {
        this.runtime = runtime;
        this.lagMillis = lagMillis;
        this.server = Undertow.builder()
                .setWorker(runtime.getWorker())
                .addHttpListener(port, "127.0.0.1")
                .setSocketOption(Options.BACKLOG, 1_024)
                .setHandler(Handlers.path()
                        .addPrefixPath("/v1/kv", values::handle)
                        .addExactPath("/v1/instances", this::list))
                .build();
        server.start();
    }

    private record Line(String name, String service, String zone, String host, int port, String state) {}

    private record Listing(List<Line> instances) {}

    /**
     * Gets the key-value service.
     *
     * @return the service with its faults, never null
     */
    public StoreStandin getStore() {
        return values;
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
     * Replaces the list at once.
     *
     * @param live live endpoints, not null
     * @param leaving leaving endpoints, not null
     */
    public void setNow(List<Endpoint> live, List<Endpoint> leaving) {
        List<Line> lines = new ArrayList<>();
        live.forEach(endpoint -> lines.add(toLine(endpoint, "live")));
        leaving.forEach(endpoint -> lines.add(toLine(endpoint, "leaving")));
        listed = List.copyOf(lines);
    }

    /**
     * Replaces the list after the lag.
     *
     * @param live live endpoints, not null
     * @param leaving leaving endpoints, not null
     */
    public void setLate(List<Endpoint> live, List<Endpoint> leaving) {
        runtime.getScheduler().schedule(() -> setNow(live, leaving), lagMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets whether the whole platform is down: directory and key-value service.
     *
     * @param now whether it is
     */
    public void setDown(boolean now) {
        down = now;
        values.setDown(now);
    }

    private void list(HttpServerExchange exchange) {
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        List<Line> now = listed;
        String tag = "\"" + Integer.toHexString(now.hashCode()) + "\"";
        exchange.getResponseHeaders().put(Headers.ETAG, tag);
        if (tag.equals(exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH))) {
            exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(JsonText.write(new Listing(now)));
    }

    @Override
    public void close() {
        server.stop();
    }

    private static Line toLine(Endpoint endpoint, String state) {
        return new Line(endpoint.name(), endpoint.service(), endpoint.zone(), endpoint.host(), endpoint.port(), state);
    }
}
