package org.fuchsiawharf.relay.edge;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.relay.CallerExchange;
import org.fuchsiawharf.core.relay.EndpointCalls;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.client.HttpCall;
import org.fuchsiawharf.relay.client.HttpClient;
import org.jspecify.annotations.Nullable;

/**
 * Sends callers' requests on to endpoints over HTTP/1.1.
 *
 * <p>Method, target and body go out unchanged, and so do all fields but those of one connection and those that the
 * instance sets itself. A request that may not be repeated goes out on a new connection: on a kept one, a close
 * under way would leave open whether it ran. Called on the decision loop.
 */
public final class RelayedCalls implements EndpointCalls {
    /** How long a kept connection may have been idle for a request that may be repeated. */
    private static final long MAX_IDLE_NANOS = 4_000_000_000L;
    /** Fields that concern one connection only. */
    private static final Set<String> CONNECTION_FIELDS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private final IoThread io;
    private final HttpClient client;
    private final FieldNames names;
    private final Executor decisions;
    private final DecisionLog log;
    private @Nullable RelayInstance instance;

    /**
     * Creates the calls.
     *
     * @param io the I/O thread, not null
     * @param client sends them, not null
     * @param names the names of header fields, not null
     * @param decisions runs tasks on the decision loop, not null
     * @param log takes decisions, not null
     */
    public RelayedCalls(IoThread io, HttpClient client, FieldNames names, Executor decisions, DecisionLog log) {
        this.io = io;
        this.client = client;
        this.names = names;
        this.decisions = decisions;
        this.log = log;
    }

    /**
     * Sets who hears what endpoints tell beside their answers; called once, before the first call.
     *
     * @param listener the instance, not null
     */
    public void setInstance(RelayInstance listener) {
        instance = listener;
    }

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        RelayedCall call = new RelayedCall(this, (EdgeExchange) exchange, endpoint, terms, listener);
        io.getLoop().execute(call::start);
        return call;
    }

    // -----------------------------------------------------------------------

    /** Builds the request as an endpoint gets it; on the I/O thread. */
    HttpCall build(EdgeExchange exchange, Endpoint endpoint, Terms terms) {
        HttpRequest from = exchange.getHead();
        HttpRequest to = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        copyFields(from.headers(), to.headers());
        HttpHeaders fields = to.headers();
        fields.set(names.deadline(), terms.remainingMillis());
        fields.set(names.expectedInstance(), endpoint.name());
        if (terms.workspace() != null) {
            fields.set(names.workspace(), terms.workspace());
        }
        if (terms.stream()) {
            fields.set(names.rank(), Math.min(9, Math.max(0, terms.rank())));
        }
        if (terms.inputs() != null) {
            fields.set(names.inputs(), String.join(",", terms.inputs()));
        }
        long lastId = exchange.getStream().getLastId();
        if (terms.stream() && lastId >= 0) {
            fields.set("last-event-id", lastId);
        }
        ByteBuf body = exchange.retainBody();
        if (body.isReadable() || HttpUtil.isContentLengthSet(from) || HttpUtil.isTransferEncodingChunked(from)) {
            fields.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        InetSocketAddress address = new InetSocketAddress(endpoint.host(), endpoint.port());
        String id = from.headers().get(names.requestId());
        return new HttpCall(address, to, body, id, terms.repeatable() ? MAX_IDLE_NANOS : 0);
    }

    private void copyFields(HttpHeaders from, HttpHeaders to) {
        Set<String> named = new HashSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                named.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        for (Map.Entry<String, String> field : from) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            boolean connectionOnly = CONNECTION_FIELDS.contains(name) || (named.contains(name) && !isEndToEnd(name));
            if (!connectionOnly && !names.isWithheld(name)) {
                to.add(field.getKey(), field.getValue());
            }
        }
    }

    // A caller cannot take away by a connection option what endpoints rely on.
    private boolean isEndToEnd(String name) {
        return name.equals(names.requestId())
                || name.equals(names.promptParts())
                || name.equals(names.tokenCount())
                || name.equals(names.pieces())
                || name.equals(names.pieceKey())
                || name.equals("host")
                || name.equals("last-event-id")
                || name.equals("content-type");
    }

    void onIo(Runnable task) {
        io.getLoop().execute(task);
    }

    void decide(Runnable task) {
        decisions.execute(task);
    }

    HttpClient getClient() {
        return client;
    }

    FieldNames getNames() {
        return names;
    }

    DecisionLog getLog() {
        return log;
    }

    void reportLoad(String endpoint, int running, int waiting, int slots) {
        RelayInstance listener = instance;
        if (listener != null) {
            decide(() -> listener.onLoad(endpoint, running, waiting, slots));
        }
    }
}
