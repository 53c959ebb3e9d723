package org.fuchsiawharf.relay.edge;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.relay.EndpointCalls;
import org.fuchsiawharf.core.relay.EndpointResponse;

/**
 * Listener that fails the caller's request if the decision on the progress of its call fails.
 *
 * <p>Called on the decision loop.
 */
final class GuardedListener implements EndpointCalls.Listener {
    private final HttpCallerExchange exchange;
    private final EndpointCalls.Listener listener;

    GuardedListener(HttpCallerExchange exchange, EndpointCalls.Listener listener) {
        this.exchange = exchange;
        this.listener = listener;
    }

    @Override
    public void onStreamStarted() {
        exchange.run(listener::onStreamStarted);
    }

    @Override
    public void onStreamEnded(long events) {
        exchange.run(() -> listener.onStreamEnded(events));
    }

    @Override
    public void onResponse(EndpointResponse response) {
        exchange.run(() -> listener.onResponse(response));
    }

    @Override
    public void onFailed(CallFailure failure, String detail) {
        exchange.run(() -> listener.onFailed(failure, detail));
    }
}
