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
import org.fuchsiawharf.core.relay.EndpointUpdates;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.relay.EndpointNoticeReader;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.client.HttpCall;
import org.fuchsiawharf.relay.client.HttpClient;
import org.jspecify.annotations.Nullable;

/**
 * Relays callers' requests to endpoints over HTTP/1.1.
 *
 * <p>Method, target, body and fields are forwarded unchanged, except for connection-specific fields and fields that the
 * instance sets itself. A request that must not be repeated is sent on a new connection: if an endpoint closed a pooled
 * connection at the same time, it would be unknown whether the request ran. Called on the decision loop.
 */
public final class RelayedCalls implements EndpointCalls {
    /** Longest idle time of a pooled connection on which a repeatable request is sent. */
    private static final long MAX_IDLE_NANOS = 4_000_000_000L;
    /** Fields that are not forwarded: those that apply to a single connection, and those handled by the instance. */
    private static final Set<String> UNFORWARDED_FIELDS = Set.of(
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

    private final IoThread ioThread;
    private final HttpClient client;
    private final FieldNames names;
    private final Executor decisionLoop;
    private final DecisionLog log;
    private final EndpointNoticeReader noticeReader;
    private @Nullable RelayInstance instance;
    private long bufferedBytes;

    /**
     * Creates the component that sends callers' requests to endpoints.
     *
     * @param ioThread the I/O thread, not null
     * @param client the HTTP client, not null
     * @param names the names of the header fields, not null
     * @param decisionLoop executes tasks on the decision loop, not null
     * @param log records malformed load reports, not null
     * @param noticeReader reads the notices in responses, not null
     */
    public RelayedCalls(
            IoThread ioThread,
            HttpClient client,
            FieldNames names,
            Executor decisionLoop,
            DecisionLog log,
            EndpointNoticeReader noticeReader) {
        this.ioThread = ioThread;
        this.client = client;
        this.names = names;
        this.decisionLoop = decisionLoop;
        this.log = log;
        this.noticeReader = noticeReader;
    }

    /**
     * Sets the instance that receives the load reports of endpoints; called once, before the first call.
     *
     * @param relayInstance the instance, not null
     */
    public void setInstance(RelayInstance relayInstance) {
        instance = relayInstance;
    }

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        HttpCallerExchange httpExchange = (HttpCallerExchange) exchange;
        EndpointCalls.Listener guarded = new GuardedListener(httpExchange, listener);
        RelayedCall call = new RelayedCall(this, httpExchange, endpoint, terms, guarded);
        ioThread.getLoop().execute(() -> httpExchange.run(call::start));
        return call;
    }

    // -----------------------------------------------------------------------

    /** Builds the request to an endpoint; called on the I/O thread. */
    HttpCall buildRequest(HttpCallerExchange exchange, Endpoint endpoint, Terms terms) {
        HttpRequest callerRequest = exchange.getHead();
        HttpRequest endpointRequest =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, callerRequest.method(), callerRequest.uri());
        copyEndToEndFields(callerRequest.headers(), endpointRequest.headers());
        HttpHeaders fields = endpointRequest.headers();
        fields.set(names.deadline(), terms.remainingMillis());
        fields.set(names.expectedEndpoint(), endpoint.name());
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
        if (body.isReadable()
                || HttpUtil.isContentLengthSet(callerRequest)
                || HttpUtil.isTransferEncodingChunked(callerRequest)) {
            fields.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        InetSocketAddress address = new InetSocketAddress(endpoint.host(), endpoint.port());
        String id = callerRequest.headers().get(names.requestId());
        return new HttpCall(
                address,
                endpoint.name(),
                endpointRequest,
                body,
                id,
                terms.repeatable() ? MAX_IDLE_NANOS : 0,
                terms.maxIdleConnections(),
                terms.stream() ? HttpCall.UNLIMITED_BYTES : RelayedCall.MAX_RESPONSE_BYTES);
    }

    private void copyEndToEndFields(HttpHeaders source, HttpHeaders target) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        for (Map.Entry<String, String> field : source) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            boolean unforwarded =
                    UNFORWARDED_FIELDS.contains(name) || (connectionOptions.contains(name) && !isEndToEnd(name));
            if (!unforwarded && !names.isWithheld(name)) {
                target.add(field.getKey(), field.getValue());
            }
        }
    }

    // Fields that endpoints rely on; a caller cannot remove them by naming them in its Connection field.
    private boolean isEndToEnd(String name) {
        return name.equals(names.requestId())
                || name.equals(names.promptParts())
                || name.equals(names.tokenCounts())
                || name.equals(names.pieces())
                || name.equals(names.pieceKey())
                || name.equals("host")
                || name.equals("last-event-id")
                || name.equals("content-type");
    }

    /** Changes the number of buffered bytes of incomplete responses; called on the I/O thread. */
    void addBufferedBytes(int change) {
        bufferedBytes += change;
    }

    /** Gets the number of buffered bytes of the incomplete responses of all calls; called on the I/O thread. */
    long getBufferedBytes() {
        return bufferedBytes;
    }

    void executeOnIoThread(Runnable task) {
        ioThread.getLoop().execute(task);
    }

    void executeOnDecisionLoop(Runnable task) {
        decisionLoop.execute(task);
    }

    HttpClient getClient() {
        return client;
    }

    FieldNames getNames() {
        return names;
    }

    EndpointNoticeReader getNoticeReader() {
        return noticeReader;
    }

    DecisionLog getLog() {
        return log;
    }

    void reportLoad(String endpoint, LoadReport report) {
        RelayInstance relayInstance = instance;
        if (relayInstance == null) {
            return;
        }
        EndpointUpdates updates = relayInstance.getEndpointUpdates();
        executeOnDecisionLoop(() -> {
            updates.onLoadReport(endpoint, report.running(), report.waiting(), report.slots());
            if (report.isDurationStated()) {
                updates.onDurationReport(endpoint, report.durationRatio());
            }
        });
    }
}
