package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Keeps sends until a test answers them.
 *
 * <p>Confined to the test's thread.
 */
final class FakeEndpointCalls implements EndpointCalls {
    final List<Sent> sent = new ArrayList<>();

    /** One send. */
    static final class Sent implements Call {
        final CallerExchange exchange;
        final Endpoint endpoint;
        final Terms terms;
        final Listener listener;
        boolean cancelled;
        long heardNanos;

        private Sent(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
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
        public long getHeardNanos() {
            return heardNanos;
        }

        void answer(int status) {
            listener.onAnswered(() -> status);
        }

        void fail(CallFailure failure) {
            listener.onFailed(failure, "test");
        }
    }

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        Sent call = new Sent(exchange, endpoint, terms, listener);
        sent.add(call);
        return call;
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }
}
