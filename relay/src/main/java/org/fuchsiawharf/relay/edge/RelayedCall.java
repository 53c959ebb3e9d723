package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.relay.EndpointCalls;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.client.OpenCall;
import org.fuchsiawharf.relay.client.ResponseListener;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a caller's request to an endpoint.
 *
 * <p>The events of a successful stream are forwarded to the caller as they arrive; any other response is buffered
 * completely, so that an incomplete response never reaches the caller. A successful response that lacks the endpoint's
 * signature, or has a content encoding that was not requested, is rejected as not produced by the endpoint. Confined to
 * the I/O thread, except for the methods of {@link EndpointCalls.Call}.
 */
final class RelayedCall implements EndpointCalls.Call, ResponseListener {
    /** Maximum size of a buffered response. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Maximum size of the incomplete responses of all calls, a quarter of the heap of an instance. */
    private static final long MAX_BUFFERED_BYTES = 32L << 20;
    /** Size up to which a response does not fail because of the incomplete responses of other calls. */
    private static final int GUARANTEED_RESPONSE_BYTES = 1 << 20;

    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;

    private final RelayedCalls calls;
    private final HttpCallerExchange exchange;
    private final Endpoint endpoint;
    private final EndpointCalls.Terms terms;
    private final EndpointCalls.Listener listener;
    private volatile @Nullable OpenCall clientCall;
    private final long createdNanos = System.nanoTime();
    private boolean ended;
    private int status;
    private boolean notExecuted;
    private @Nullable HttpHeaders responseHead;
    private @Nullable EventParser eventParser;
    private @Nullable BodyCollector bufferedBody;
    private int bufferedBytes;
    private boolean startReported;
    private long forwardedEvents;
    /** The largest id of the events of this response, -1 if there is none. */
    private long latestId = -1;
    /** Whether only the ids of the events show that the response is the rest of a stream that the caller has in part. */
    private boolean identifiedByIds;
    /** Whether the latest event is forwarded, and with it the events without an id that follow. */
    private boolean forwarding;

    RelayedCall(
            RelayedCalls calls,
            HttpCallerExchange exchange,
            Endpoint endpoint,
            EndpointCalls.Terms terms,
            EndpointCalls.Listener listener) {
        this.calls = calls;
        this.exchange = exchange;
        this.endpoint = endpoint;
        this.terms = terms;
        this.listener = listener;
    }

    void start() {
        if (!ended && exchange.isEnded()) {
            onFailed(CallFailure.NOT_SENT, "the caller has left");
        } else if (!ended && !exchange.getStream().mayContinueAt(terms.version())) {
            onFailed(CallFailure.REFUSED, "the stream began at another version than " + terms.version());
        } else if (!ended) {
            OpenCall call = calls.getClient().send(calls.buildRequest(exchange, endpoint, terms), this);
            clientCall = call;
            if (!ended) {
                exchange.addEndpointCall(call);
            }
        }
    }

    @Override
    public void cancel() {
        calls.executeOnIoThread(() -> {
            ended = true;
            releaseBuffers();
            OpenCall call = clientCall;
            if (call != null) {
                call.cancel();
            }
        });
    }

    @Override
    public long getLastReceivedNanos() {
        OpenCall call = clientCall;
        return call == null ? createdNanos : call.getLastReceivedNanos();
    }

    // -----------------------------------------------------------------------

    @Override
    public void onHead(int code, HttpHeaders head) {
        FieldNames names = calls.getNames();
        status = code;
        responseHead = head;
        notExecuted = head.contains(names.notExecuted()) || code == MISDIRECTED;
        reportLoad(head.get(names.load()));
        calls.getNoticeReader().onHead(endpoint.name(), code, head, createdNanos);
        boolean success = code / 100 == 2;
        if (success && (!head.contains(names.signature()) || head.contains(HttpHeaderNames.CONTENT_ENCODING))) {
            fail(CallFailure.GARBAGE, "the successful response has no signature or has a content encoding");
        } else if (terms.stream() && code == OK) {
            onStreamHead(head);
        } else {
            bufferedBody = new BodyCollector();
        }
    }

    // A response without a content type is taken for a stream, whose events show whether they belong to it.
    private void onStreamHead(HttpHeaders head) {
        StreamRelay stream = exchange.getStream();
        String type = head.get(HttpHeaderNames.CONTENT_TYPE);
        boolean resumes = stream.isHeadSent() || stream.getLastId() >= 0;
        identifiedByIds = stream.isHeadSent() || (resumes && type == null);
        forwarding = !identifiedByIds;
        if (type == null || isEventStream(type)) {
            eventParser = new EventParser();
        } else if (resumes) {
            fail(CallFailure.GARBAGE, "the response to a resumed stream has the content type " + type);
        } else {
            bufferedBody = new BodyCollector();
        }
    }

    @Override
    public void onData(ByteBuf data) {
        if (ended) {
            return;
        }
        EventParser parser = eventParser;
        BodyCollector body = bufferedBody;
        if (parser != null) {
            if (!parser.feed(data, this::onEvent) && !ended) {
                fail(CallFailure.GARBAGE, "malformed event stream");
            }
        } else if (body != null) {
            int size = data.readableBytes();
            body.add(data);
            bufferedBytes += size;
            calls.addBufferedBytes(size);
            if (body.size() > MAX_RESPONSE_BYTES) {
                fail(CallFailure.GARBAGE, "the response exceeds " + MAX_RESPONSE_BYTES + " bytes");
            } else if (calls.getBufferedBytes() > MAX_BUFFERED_BYTES && bufferedBytes > GUARANTEED_RESPONSE_BYTES) {
                fail(CallFailure.GARBAGE, "the incomplete responses exceed " + MAX_BUFFERED_BYTES + " bytes");
            }
        }
    }

    private void onEvent(EventParser.StreamEvent event) {
        HttpHeaders head = responseHead;
        if (ended || head == null) {
            return;
        }
        if (!event.hasId() && !forwarding) {
            return;
        }
        StreamRelay.Result result = exchange.getStream().forward(event, terms.version());
        forwarding = result == StreamRelay.Result.FORWARDED;
        latestId = event.hasId() ? Math.max(latestId, event.id()) : latestId;
        if (result == StreamRelay.Result.GAP) {
            fail(CallFailure.GARBAGE, "the event stream has a gap before event " + event.id());
        } else if (result == StreamRelay.Result.FORWARDED) {
            sendHead(head);
            forwardedEvents++;
            if (!startReported) {
                startReported = true;
                calls.executeOnDecisionLoop(listener::onStreamStarted);
            }
        }
    }

    private void sendHead(HttpHeaders head) {
        if (!exchange.getStream().isHeadSent()) {
            exchange.getStream().sendHead(status, copyEndToEndFields(head));
        }
    }

    @Override
    public void onReadEnd() {
        exchange.getStream().flush();
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        uncountBufferedBytes();
        removeEndpointCall();
        HttpHeaders head = responseHead;
        EventParser parser = eventParser;
        BodyCollector body = bufferedBody;
        if (parser != null && parser.hasPartialEvent()) {
            fail(CallFailure.LOST, "the stream ended within an event");
        } else if (parser != null && head != null && !isFramed(head) && latestId < 0) {
            fail(CallFailure.LOST, "the connection ended before the first event of the stream");
        } else if (parser != null && !reachesLastEvent()) {
            fail(CallFailure.GARBAGE, "the stream ended before the last event that the caller has");
        } else if (parser != null && head != null) {
            ended = true;
            sendHead(head);
            exchange.getStream().append(parser.getTrailingEmptyLines());
            exchange.getStream().flush();
            parser.release();
            long count = forwardedEvents;
            calls.executeOnDecisionLoop(() -> listener.onStreamEnded(count));
        } else if (body != null && head != null) {
            completeBuffered(head, body);
        }
    }

    // A stream has no end mark, so that an end before the caller's last event is not the end of the caller's stream.
    private boolean reachesLastEvent() {
        return latestId < 0
                ? !identifiedByIds
                : latestId == exchange.getStream().getLastId();
    }

    private void completeBuffered(HttpHeaders head, BodyCollector body) {
        if (notExecuted) {
            onFailed(toNotExecutedFailure(head), "status " + status);
        } else if (exchange.getStream().isHeadSent()) {
            onFailed(CallFailure.ERROR, "status " + status + " instead of the rest of the stream");
        } else {
            ended = true;
            bufferedBody = null;
            BufferedResponse response = new BufferedResponse(status, copyEndToEndFields(head), body.complete());
            calls.executeOnDecisionLoop(() -> listener.onResponse(response));
        }
    }

    private static boolean isEventStream(String contentType) {
        return EVENT_STREAM.equalsIgnoreCase(contentType.split(";", 2)[0].strip());
    }

    private static boolean isFramed(HttpHeaders head) {
        return head.contains(HttpHeaderNames.CONTENT_LENGTH) || head.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private CallFailure toNotExecutedFailure(HttpHeaders head) {
        if (status == MISDIRECTED) {
            return CallFailure.LEAVING;
        }
        if (status == CONFLICT) {
            return CallFailure.INPUTS_GONE;
        }
        return CallFailure.REFUSED;
    }

    @Override
    public void onFailed(CallFailure failure, String detail) {
        if (!ended) {
            ended = true;
            exchange.getStream().flush();
            releaseBuffers();
            calls.executeOnDecisionLoop(() -> listener.onFailed(failure, detail));
        }
    }

    private void fail(CallFailure failure, String detail) {
        OpenCall call = clientCall;
        onFailed(failure, detail);
        if (call != null) {
            call.cancel();
        }
    }

    private void removeEndpointCall() {
        OpenCall call = clientCall;
        if (call != null) {
            exchange.removeEndpointCall(call);
        }
    }

    private void uncountBufferedBytes() {
        calls.addBufferedBytes(-bufferedBytes);
        bufferedBytes = 0;
    }

    private void releaseBuffers() {
        uncountBufferedBytes();
        EventParser parser = eventParser;
        if (parser != null) {
            parser.release();
        }
        BodyCollector body = bufferedBody;
        bufferedBody = null;
        if (body != null) {
            body.release();
        }
        removeEndpointCall();
    }

    private void reportLoad(@Nullable String value) {
        if (value == null) {
            return;
        }
        LoadReport report = LoadReport.parse(value);
        if (report == null) {
            calls.getLog().write("endpoint.load_malformed", "endpoint", endpoint.name(), "value", value);
        } else {
            calls.reportLoad(endpoint.name(), report);
        }
    }

    // Fields of the connection to the endpoint do not apply to the caller's connection.
    private static HttpHeaders copyEndToEndFields(HttpHeaders source) {
        HttpHeaders target = new DefaultHttpHeaders();
        source.forEach(field -> {
            String name = field.getKey().toLowerCase(java.util.Locale.ROOT);
            boolean connectionOnly = name.equals("connection")
                    || name.equals("keep-alive")
                    || name.equals("transfer-encoding")
                    || name.equals("trailer")
                    || name.equals("upgrade")
                    || name.equals("content-length");
            if (!connectionOnly) {
                target.add(field.getKey(), field.getValue());
            }
        });
        return target;
    }
}
