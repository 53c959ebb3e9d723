package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * A fake that records calls, which a test completes.
 *
 * <p>Confined to the test's thread.
 */
final class FakeEndpointCalls implements EndpointCalls {
    final List<SentCall> sent = new ArrayList<>();

    /** A recorded call. */
    static final class SentCall implements Call {
        final CallerExchange exchange;
        final Endpoint endpoint;
        final Terms terms;
        final Listener listener;
        boolean cancelled;
        long lastReceivedNanos;

        private SentCall(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
            this.exchange = exchange;
            this.endpoint = endpoint;
            this.terms = terms;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public long getLastReceivedNanos() {
            return lastReceivedNanos;
        }

        void respond(int status) {
            listener.onResponse(() -> status);
        }

        void fail(CallFailure failure) {
            listener.onFailed(failure, "test");
        }
    }

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        SentCall call = new SentCall(exchange, endpoint, terms, listener);
        sent.add(call);
        return call;
    }

    SentCall last() {
        return sent.get(sent.size() - 1);
    }
}
