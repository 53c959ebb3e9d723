package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one endpoint, from its beginning to its only end.
 *
 * <p>Tells the endpoint's health what it experienced, and gives the endpoint up if it is silent and the request may be
 * sent to another one. Confined to the decision loop.
 */
final class EndpointSend implements EndpointCalls.Listener {
    /** Answers from this HTTP status on are failures of the endpoint. */
    static final int FIRST_FAILURE_STATUS = 500;

    /** How many times its usual time a repeatable call may take before another endpoint is asked. */
    private static final double SLOW_FACTOR = 6;
    /** The least time that a repeatable call is given before another endpoint is asked. */
    private static final long MIN_SLOW_NANOS = 150_000_000L;
    /** How long an engine may be silent before a stream's first event; queueing for a slot included. */
    private static final long SILENT_START_NANOS = 1_500_000_000L;
    /** How long an engine may be silent within a stream; many pauses of a loaded engine. */
    private static final long SILENT_STREAM_NANOS = 700_000_000L;
    /** How often silence is looked for. */
    private static final long SILENCE_CHECK_NANOS = 200_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final RelayTask.Order order;
    private final EndpointState endpoint;
    private final ServicePool pool;
    private final Owner owner;
    private final TimerService timers;
    private final long sentNanos;
    private EndpointCalls.@Nullable Call call;
    private boolean firstEvent;
    private boolean closed;
    private @Nullable Timer silence;

    /** The request that is sent; once one of the last three methods is called, the send has ended. */
    interface Owner {
        /** Tells whether the request may be sent to another endpoint although this one may have run it. */
        boolean mayAskAnother();

        /** Notes for the log what became of the send. */
        void onNote(String result);

        /** Learns that the first event of a stream was passed on, so long after the send began. */
        void onFirstEvent(long tookNanos);

        /** Learns that a stream ended properly. */
        void onWholeStream();

        /** Takes in a whole answer that is no stream. */
        void onAnswer(EndpointAnswer answer, EndpointState from, long tookNanos);

        /** Learns that no whole answer will come. */
        void onFailure(CallFailure failure, EndpointState from);
    }

    EndpointSend(RelayContext context, RelayTask.Order order, EndpointState endpoint, Owner owner) {
        this.context = context;
        this.order = order;
        this.endpoint = endpoint;
        this.pool = context.table().getPool(endpoint.getEndpoint().service());
        this.owner = owner;
        this.timers = context.timers();
        this.sentNanos = timers.now();
    }

    void begin(EndpointCalls.Terms terms) {
        endpoint.onSent();
        call = context.calls().send(order.exchange(), endpoint.getEndpoint(), terms, this);
        if (order.route().kind().isRepeatable()) {
            silence = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
        }
    }

    /** Ends the send without a word to its owner. */
    void cut() {
        if (!closed) {
            close("cut");
            EndpointCalls.Call present = call;
            if (present != null) {
                present.cancel();
            }
        }
    }

    private void close(String result) {
        closed = true;
        endpoint.onEnded();
        if (silence != null) {
            silence.cancel();
        }
        owner.onNote(endpoint.getEndpoint().name() + ":" + result + ":" + took() / NANOS_PER_MILLI + "ms");
    }

    private long took() {
        return timers.now() - sentNanos;
    }

    // -----------------------------------------------------------------------

    private void checkSilence() {
        EndpointCalls.Call present = call;
        if (closed || present == null) {
            return;
        }
        if (owner.mayAskAnother() && timers.now() - present.getHeardNanos() > silenceBound()) {
            present.cancel();
            onFailed(CallFailure.TIMEOUT, "silent for too long");
        } else {
            silence = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
        }
    }

    private long silenceBound() {
        if (!order.route().kind().isStream()) {
            return Math.max(
                    MIN_SLOW_NANOS, (long) (SLOW_FACTOR * pool.getUsual().getMean()));
        }
        long start = Math.max(SILENT_START_NANOS, order.route().objectiveMillis() * NANOS_PER_MILLI);
        return firstEvent ? SILENT_STREAM_NANOS : start;
    }

    // -----------------------------------------------------------------------

    @Override
    public void onStreamStarted() {
        if (!closed) {
            firstEvent = true;
            owner.onFirstEvent(took());
        }
    }

    @Override
    public void onStreamEnded(long events) {
        if (!closed) {
            close("ok");
            context.health().onSuccess(pool, endpoint, true, timers.now());
            owner.onWholeStream();
        }
    }

    @Override
    public void onAnswered(EndpointAnswer answer) {
        if (closed) {
            return;
        }
        close(Integer.toString(answer.getStatus()));
        if (answer.getStatus() >= FIRST_FAILURE_STATUS) {
            context.health().onFailure(pool, endpoint, CallFailure.ERROR, timers.now());
        } else {
            pool.getUsual().add(endpoint.onCompleted(took()));
            context.health().onSuccess(pool, endpoint, false, timers.now());
        }
        owner.onAnswer(answer, endpoint, took());
    }

    @Override
    public void onFailed(CallFailure failure, String detail) {
        if (closed) {
            return;
        }
        close(failure.getWireName());
        String name = endpoint.getEndpoint().name();
        context.log()
                .write(
                        "call.failed",
                        "request",
                        order.request().id(),
                        "endpoint",
                        name,
                        "failure",
                        failure.getWireName(),
                        "detail",
                        detail,
                        "took_ms",
                        took() / NANOS_PER_MILLI,
                        "endpoint_in_flight",
                        endpoint.getInFlight());
        if (failure == CallFailure.LEAVING) {
            endpoint.onLeaving();
        } else if (failure != CallFailure.INPUTS_GONE
                && context.health().onFailure(pool, endpoint, failure, timers.now())) {
            context.log().write("endpoint.ejected", "endpoint", name, "after", failure.getWireName());
        }
        owner.onFailure(failure, endpoint);
    }
}
