package org.fuchsiawharf.core.relay;

import java.util.Set;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.quarantine.CrashQuarantine;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request at one endpoint.
 *
 * <p>An attempt ends exactly once and reports its outcome to the health policy. The call is cancelled if the endpoint
 * is silent and the request may be sent to another endpoint that is usable. Confined to the decision loop.
 */
final class EndpointAttempt implements EndpointCalls.Listener {
    /** Responses with this HTTP status or a higher one are failures of the endpoint. */
    static final int FIRST_FAILURE_STATUS = 500;

    /** The HTTP statuses that promise that a request has not run and never will. */
    static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Multiple of the service's mean response time after which a repeatable call is sent to another endpoint. */
    private static final double SLOW_FACTOR = 6;
    /** Lower limit of the time after which a repeatable call is sent to another endpoint. */
    private static final long MIN_SLOW_NANOS = 150_000_000L;
    /** Lower limit of the silence bound before the first event of a stream, which includes queueing for a slot. */
    private static final long SILENT_START_NANOS = 1_500_000_000L;
    /** Maximum silence within a stream; many times the pause between two events of a loaded engine. */
    private static final long SILENT_STREAM_NANOS = 700_000_000L;
    /** Interval of the checks for silence. */
    private static final long SILENCE_CHECK_NANOS = 200_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final RoutedRequest routedRequest;
    private final EndpointState endpoint;
    private final ServicePool pool;
    private final Callbacks callbacks;
    private final TimerService timers;
    private final long startNanos;
    private EndpointCalls.@Nullable Call call;
    private boolean firstEventForwarded;
    private long firstEventNanos;
    private boolean ended;
    private @Nullable Timer silenceTimer;

    /** The request of an attempt; the attempt has ended when one of the last three methods is called. */
    interface Callbacks {
        /** Checks whether the request may be sent to another endpoint even if this endpoint may have run it. */
        boolean mayTryAnotherEndpoint();

        /** Records the result of the attempt for the log. */
        void recordResult(String result);

        /** Called when the first event of a stream has been forwarded, with the time since the attempt began. */
        void onFirstEvent(long elapsedNanos);

        /** Called when a stream has ended properly. */
        void onStreamCompleted();

        /** Called when a complete response that is not a stream has arrived. */
        void onResponse(EndpointAttempt attempt, EndpointResponse response);

        /** Called when the attempt has ended without a complete response. */
        void onFailure(EndpointAttempt attempt, CallFailure failure);
    }

    EndpointAttempt(RelayContext context, RoutedRequest routedRequest, EndpointState endpoint, Callbacks callbacks) {
        this.context = context;
        this.routedRequest = routedRequest;
        this.endpoint = endpoint;
        this.pool = context.table().getPool(endpoint.getEndpoint().service());
        this.callbacks = callbacks;
        this.timers = context.timers();
        this.startNanos = timers.now();
    }

    EndpointState getEndpoint() {
        return endpoint;
    }

    /** Gets the time since the attempt began, in nanoseconds. */
    long getElapsedNanos() {
        return timers.now() - startNanos;
    }

    void begin(EndpointCalls.Terms terms) {
        endpoint.onSent();
        endpoint.getRequestLimit().onSent(timers.now());
        endpoint.getBrittleness().onSent(timers.now());
        call = context.calls().send(routedRequest.exchange(), endpoint.getEndpoint(), terms, this);
        if (routedRequest.route().kind().isRepeatable()) {
            silenceTimer = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
        }
    }

    /** Cancels the attempt; only {@link Callbacks#recordResult} is called for it. */
    void cancel() {
        if (!ended) {
            finish("cut");
            EndpointCalls.Call currentCall = call;
            if (currentCall != null) {
                currentCall.cancel();
            }
        }
    }

    /**
     * Cancels the attempt because its hedge was answered first. Its elapsed time is a lower bound of its duration; without
     * this sample, the estimate of an endpoint that loses to hedges would omit its slow calls. A call that is silent as
     * long as a failed one shows no health.
     */
    void cancelSlow() {
        EndpointCalls.Call currentCall = call;
        boolean silent = currentCall == null || isSilent(currentCall);
        cancel();
        if (getElapsedNanos() > endpoint.getServiceTime().getMean()) {
            endpoint.onCompleted(getElapsedNanos());
            // A call that is a probe shows no health before it is answered.
            if (!silent && !endpoint.isEjected() && context.health().onSuccess(pool, endpoint, false, timers.now())) {
                context.log()
                        .write(
                                "endpoint.ejected",
                                "endpoint",
                                endpoint.getEndpoint().name(),
                                "after",
                                "slow");
            }
        }
    }

    private boolean isSilent(EndpointCalls.Call currentCall) {
        return timers.now() - currentCall.getLastReceivedNanos() > silenceBound();
    }

    private void finish(String result) {
        ended = true;
        endpoint.onEnded();
        if (isSound()) {
            context.quarantine().onSound(routedRequest.suspects());
        }
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        callbacks.recordResult(
                endpoint.getEndpoint().name() + ":" + result + ":" + getElapsedNanos() / NANOS_PER_MILLI + "ms");
    }

    private boolean isSound() {
        return firstEventForwarded && timers.now() - firstEventNanos > CrashQuarantine.SOUND_STREAM_NANOS;
    }

    // -----------------------------------------------------------------------

    private void checkSilence() {
        EndpointCalls.Call currentCall = call;
        if (ended || currentCall == null) {
            return;
        }
        if (isSilent(currentCall)
                && callbacks.mayTryAnotherEndpoint()
                && isAnotherEndpointUsable()
                && context.budget().canSpend(pool.getService())) {
            currentCall.cancel();
            onFailed(CallFailure.TIMEOUT, "no data within the silence bound");
        } else {
            silenceTimer = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
        }
    }

    // An endpoint that is silent may go on, so that its call is kept unless another endpoint can take it over.
    private boolean isAnotherEndpointUsable() {
        ServicePool candidates =
                firstEventForwarded ? context.table().getPool(pool.getService(), endpoint.getVersion()) : pool;
        long now = timers.now();
        return candidates.getEndpoints().stream()
                .anyMatch(other -> other != endpoint && other.isUsable() && other.acceptsRequest(now));
    }

    private long silenceBound() {
        if (!routedRequest.route().kind().isStream()) {
            return Math.max(
                    MIN_SLOW_NANOS, (long) (SLOW_FACTOR * pool.getServiceTime().getMean()));
        }
        long startBound = Math.max(SILENT_START_NANOS, routedRequest.route().objectiveMillis() * NANOS_PER_MILLI);
        return firstEventForwarded ? SILENT_STREAM_NANOS : startBound;
    }

    // -----------------------------------------------------------------------

    @Override
    public void onStreamStarted() {
        if (!ended) {
            firstEventForwarded = true;
            context.table().getZoneReach().onResponse(endpoint.getEndpoint().zone());
            firstEventNanos = timers.now();
            pool.onStreamStarted(endpoint, getElapsedNanos(), firstEventNanos);
            RequestDecisionLog.writeStreamBegun(context.log(), routedRequest, endpoint);
            callbacks.onFirstEvent(getElapsedNanos());
        }
    }

    @Override
    public void onStreamEnded(long events) {
        if (!ended) {
            finish("ok");
            onAnswered();
            context.health().onSuccess(pool, endpoint, true, timers.now());
            callbacks.onStreamCompleted();
        }
    }

    @Override
    public void onResponse(EndpointResponse response) {
        if (ended) {
            return;
        }
        boolean promisesTooMuch = NOT_RUN_STATUSES.contains(response.getStatus())
                && !routedRequest.route().kind().isRepeatable();
        if (promisesTooMuch) {
            // An endpoint that has not run a request says so, which is a failure of the call and no response.
            onFailed(CallFailure.ERROR, "status " + response.getStatus() + " of a request that may have run");
            return;
        }
        finish(Integer.toString(response.getStatus()));
        if (response.getStatus() >= FIRST_FAILURE_STATUS) {
            context.health().onFailure(pool, endpoint, CallFailure.ERROR, timers.now());
        } else {
            onAnswered();
            pool.getServiceTime().add(endpoint.onCompleted(getElapsedNanos()));
            context.health().onSuccess(pool, endpoint, false, timers.now());
        }
        callbacks.onResponse(this, response);
    }

    private void onAnswered() {
        context.table().getZoneReach().onResponse(endpoint.getEndpoint().zone());
        endpoint.getBrittleness().onAccepted();
        context.quarantine().onAnswered(routedRequest.suspects(), endpoint.getProcess());
    }

    private void reportCrash(CallFailure failure) {
        String process = endpoint.getProcess();
        if (failure == CallFailure.LOST && !isSound()) {
            long prompt = routedRequest.request().ownPartHash();
            context.quarantine().onLost(routedRequest.suspects(), prompt, process);
        } else if (failure == CallFailure.NOT_SENT || failure == CallFailure.LEAVING) {
            context.quarantine().onEnded(process);
        }
    }

    private void reportReach(CallFailure failure) {
        Endpoint target = endpoint.getEndpoint();
        if (failure == CallFailure.NOT_SENT
                && context.table().getZoneReach().onNotConnected(target.zone(), target.name(), timers.now())) {
            context.log().write("zone.suspected", "zone", target.zone(), "endpoint", target.name());
        }
    }

    @Override
    public void onFailed(CallFailure failure, String detail) {
        if (ended) {
            return;
        }
        finish(failure.getWireName());
        String name = endpoint.getEndpoint().name();
        context.log()
                .write(
                        "call.failed",
                        "request",
                        routedRequest.request().id(),
                        "endpoint",
                        name,
                        "failure",
                        failure.getWireName(),
                        "detail",
                        detail,
                        "version",
                        endpoint.getVersion(),
                        "took_ms",
                        getElapsedNanos() / NANOS_PER_MILLI,
                        "endpoint_in_flight",
                        endpoint.getInFlight(),
                        "parts",
                        String.join(",", routedRequest.request().promptParts()),
                        "fingerprint",
                        routedRequest.fingerprint());
        reportCrash(failure);
        reportReach(failure);
        if (failure == CallFailure.REFUSED) {
            endpoint.getBrittleness().onRejected(endpoint.getSlots(), startNanos);
        }
        if (failure == CallFailure.LEAVING) {
            endpoint.onLeaving();
        } else if (failure != CallFailure.INPUTS_GONE
                && context.health().onFailure(pool, endpoint, failure, timers.now())) {
            context.log().write("endpoint.ejected", "endpoint", name, "after", failure.getWireName());
        }
        callbacks.onFailure(this, failure);
    }
}
