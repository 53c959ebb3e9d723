package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
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
 * One send of a caller's request to an endpoint.
 *
 * <p>A successful stream goes straight to the caller; any other answer is collected whole first, so that a broken
 * one never reaches the caller. A success without the endpoint's signature or with an encoding that nobody asked for
 * is not the endpoint's. Confined to the I/O thread, except for the methods of {@link EndpointCalls.Call}.
 */
final class RelayedCall implements EndpointCalls.Call, ResponseListener {
    /** Answers that are not streams are kept in memory up to this size. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final int SUCCESS = 200;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;

    private final RelayedCalls calls;
    private final EdgeExchange exchange;
    private final Endpoint endpoint;
    private final EndpointCalls.Terms terms;
    private final EndpointCalls.Listener listener;
    private volatile @Nullable OpenCall open;
    private final long createdNanos = System.nanoTime();
    private boolean ended;
    private int status;
    private boolean notExecuted;
    private @Nullable HttpHeaders fields;
    private @Nullable EventParser events;
    private @Nullable CompositeByteBuf collected;
    private boolean startTold;
    private long passed;

    RelayedCall(
            RelayedCalls calls,
            EdgeExchange exchange,
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
        if (!ended && exchange.isOver()) {
            onFailed(CallFailure.NOT_SENT, "the caller has left");
        } else if (!ended) {
            OpenCall call = calls.getClient().send(calls.build(exchange, endpoint, terms), this);
            open = call;
            exchange.setSource(call);
        }
    }

    @Override
    public void cancel() {
        calls.onIo(() -> {
            ended = true;
            releaseAll();
            OpenCall call = open;
            if (call != null) {
                call.cancel();
            }
        });
    }

    @Override
    public long getHeardNanos() {
        OpenCall call = open;
        return call == null ? createdNanos : call.getLastReceivedNanos();
    }

    // -----------------------------------------------------------------------

    @Override
    public void onHead(int code, HttpHeaders head) {
        FieldNames names = calls.getNames();
        status = code;
        fields = head;
        notExecuted = head.contains(names.notExecuted()) || code == MISDIRECTED;
        reportLoad(head.get(names.load()));
        boolean success = code / 100 == 2;
        if (success && (!head.contains(names.signature()) || head.contains(HttpHeaderNames.CONTENT_ENCODING))) {
            fail(CallFailure.GARBAGE, "a success without signature or with an encoding");
        } else if (terms.stream() && code == SUCCESS) {
            events = new EventParser();
        } else {
            collected = Unpooled.compositeBuffer();
        }
    }

    @Override
    public void onData(ByteBuf data) {
        if (ended) {
            return;
        }
        EventParser parser = events;
        CompositeByteBuf buffer = collected;
        if (parser != null) {
            if (!parser.feed(data, this::onEvent) && !ended) {
                fail(CallFailure.GARBAGE, "malformed event stream");
            }
        } else if (buffer != null) {
            buffer.addComponent(true, data.retain());
            if (buffer.readableBytes() > MAX_ANSWER_BYTES) {
                fail(CallFailure.GARBAGE, "the answer exceeds " + MAX_ANSWER_BYTES + " bytes");
            }
        }
    }

    private void onEvent(EventParser.StreamEvent event) {
        HttpHeaders head = fields;
        if (ended || head == null) {
            event.bytes().release();
            return;
        }
        exchange.getStream().begin(status, callerFields(head));
        StreamRelay.Passed result = exchange.getStream().pass(event);
        if (result == StreamRelay.Passed.GAP) {
            fail(CallFailure.GARBAGE, "events are missing before event " + event.id());
        } else if (result == StreamRelay.Passed.YES) {
            passed++;
            if (!startTold) {
                startTold = true;
                calls.decide(listener::onStreamStarted);
            }
        }
    }

    @Override
    public void onWhole() {
        if (ended) {
            return;
        }
        HttpHeaders head = fields;
        EventParser parser = events;
        CompositeByteBuf buffer = collected;
        if (parser != null && parser.hasLeftover()) {
            fail(CallFailure.LOST, "the stream ended within an event");
        } else if (parser != null && head != null) {
            ended = true;
            exchange.getStream().begin(status, callerFields(head));
            parser.release();
            long count = passed;
            calls.decide(() -> listener.onStreamEnded(count));
        } else if (buffer != null && head != null) {
            ended = true;
            if (notExecuted) {
                buffer.release();
                CallFailure failure = refusal(head);
                calls.decide(() -> listener.onFailed(failure, "status " + status));
            } else {
                collected = null;
                BufferedAnswer answer = new BufferedAnswer(status, callerFields(head), buffer);
                calls.decide(() -> listener.onAnswered(answer));
            }
        }
    }

    private CallFailure refusal(HttpHeaders head) {
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
            releaseAll();
            calls.decide(() -> listener.onFailed(failure, detail));
        }
    }

    private void fail(CallFailure failure, String detail) {
        OpenCall call = open;
        onFailed(failure, detail);
        if (call != null) {
            call.cancel();
        }
    }

    private void releaseAll() {
        EventParser parser = events;
        if (parser != null) {
            parser.release();
        }
        CompositeByteBuf buffer = collected;
        collected = null;
        if (buffer != null && buffer.refCnt() > 0) {
            buffer.release();
        }
        exchange.setSource(null);
    }

    private void reportLoad(@Nullable String value) {
        if (value == null) {
            return;
        }
        String[] parts = value.split(",");
        try {
            calls.reportLoad(
                    endpoint.name(),
                    Integer.parseInt(parts[0].trim()),
                    Integer.parseInt(parts[1].trim()),
                    Integer.parseInt(parts[2].trim()));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            calls.getLog().write("endpoint.load_malformed", "endpoint", endpoint.name(), "value", value);
        }
    }

    // The fields of the endpoint's connection are not the caller's.
    private static HttpHeaders callerFields(HttpHeaders from) {
        HttpHeaders to = new DefaultHttpHeaders();
        from.forEach(field -> {
            String name = field.getKey().toLowerCase(java.util.Locale.ROOT);
            boolean connectionOnly = name.equals("connection")
                    || name.equals("keep-alive")
                    || name.equals("transfer-encoding")
                    || name.equals("trailer")
                    || name.equals("upgrade")
                    || name.equals("content-length");
            if (!connectionOnly) {
                to.add(field.getKey(), field.getValue());
            }
        });
        return to;
    }
}
