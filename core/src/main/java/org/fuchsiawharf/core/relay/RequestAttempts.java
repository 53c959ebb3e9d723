package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.retry.HedgeDelay;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request: the counts of all, and the one or two that run.
 *
 * <p>A second attempt runs only as the hedge of the first one, at another endpoint and at most once for a request. The
 * first complete response ends both: the other call is cancelled and reports nothing more. If one of the two fails, is
 * rejected or gets an error, the other goes on as the only attempt. Confined to the decision loop.
 */
final class RequestAttempts implements EndpointAttempt.Callbacks {
    /** Maximum number of attempts of a request, including those that endpoints rejected. */
    private static final int MAX_ATTEMPTS = 5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final RoutedRequest routedRequest;
    private final String service;
    private final int rank;
    private final long deadlineNanos;
    private final HedgeCheck hedgeCheck;
    private final Callbacks callbacks;
    private final List<String> results = new ArrayList<>();
    private int count;
    private int countWithPossibleEffect;
    private @Nullable EndpointAttempt current;
    private @Nullable EndpointAttempt hedge;
    private @Nullable Timer hedgeTimer;
    private boolean hedgeDecided;
    /** Time after which an attempt without a response counts as a slow one. */
    private long delayNanos = Long.MAX_VALUE;

    /** The request of the attempts; no attempt runs when one of the last three methods is called. */
    interface Callbacks {
        /** Called when the first event of a stream has been forwarded, with the time since the attempt began. */
        void onFirstEvent(String version, long elapsedNanos);

        /** Called when a stream has ended properly. */
        void onStreamCompleted();

        /** Called when a complete response that is not a stream has arrived. */
        void onResponse(EndpointResponse response, EndpointState endpoint, long elapsedNanos);

        /** Called when the last attempt that ran has ended without a complete response. */
        void onFailure(CallFailure failure, EndpointState endpoint);
    }

    RequestAttempts(
            RelayContext context,
            RoutedRequest routedRequest,
            String service,
            int rank,
            long deadlineNanos,
            EndpointChoice choice,
            Callbacks callbacks) {
        this.context = context;
        this.routedRequest = routedRequest;
        this.service = service;
        this.rank = rank;
        this.deadlineNanos = deadlineNanos;
        this.hedgeCheck = new HedgeCheck(context, routedRequest, choice, service);
        this.callbacks = callbacks;
    }

    // -----------------------------------------------------------------------

    /** Checks whether the maximum number of attempts permits one more. */
    boolean isOneLeft() {
        return count < MAX_ATTEMPTS;
    }

    /** Checks whether an attempt may have taken effect. */
    boolean mayHaveTakenEffect() {
        return countWithPossibleEffect > 0;
    }

    List<String> getResults() {
        return results;
    }

    @Override
    public boolean mayTryAnotherEndpoint() {
        return routedRequest.route().kind().isRepeatable()
                && countWithPossibleEffect < routedRequest.route().maxAttempts()
                && context.quarantine().getQuarantined(routedRequest.suspects()) == null;
    }

    /** Begins an attempt while none runs; inputs is null if the route has no stages. */
    void begin(EndpointState endpoint, @Nullable List<String> inputs) {
        if (count == 0 && !context.hedging().limits().isOff()) {
            context.hedging().budget().onCall(service);
        }
        EndpointAttempt attempt = new EndpointAttempt(context, routedRequest, endpoint, this);
        current = attempt;
        send(attempt, inputs);
        if (!hedgeDecided && hedgeCheck.isApplicable()) {
            scheduleHedge(attempt);
        }
    }

    private void send(EndpointAttempt attempt, @Nullable List<String> inputs) {
        count++;
        countWithPossibleEffect++;
        long remainingMillis = getRemainingNanos() / NANOS_PER_MILLI;
        int maxIdle = context.idleConnections().getLimit(service);
        String version = attempt.getEndpoint().getVersion();
        attempt.begin(routedRequest.createTerms(remainingMillis, rank, inputs, version, maxIdle));
    }

    private long getRemainingNanos() {
        return deadlineNanos - context.timers().now();
    }

    /** Cancels the attempts that run, because the request ends without a response of theirs. */
    void cancel() {
        cancelHedgeTimer();
        EndpointAttempt attempt = current;
        EndpointAttempt second = hedge;
        current = null;
        hedge = null;
        if (second != null) {
            second.cancel();
            recordHedge("cancelled", second.getElapsedNanos());
        }
        if (attempt != null) {
            attempt.cancel();
            recordIfSlow(attempt);
        }
    }

    // -----------------------------------------------------------------------

    private void scheduleHedge(EndpointAttempt attempt) {
        HedgeDelay.Estimate estimate = context.hedging().delay().estimate(service);
        if (estimate != null) {
            delayNanos = estimate.delayNanos();
            long dueNanos = context.timers().now() + delayNanos;
            hedgeTimer = context.timers().schedule(dueNanos, () -> decideHedge(attempt, estimate));
        }
    }

    private void decideHedge(EndpointAttempt first, HedgeDelay.Estimate estimate) {
        hedgeDecided = true;
        double balance = context.hedging().budget().getBalance(service);
        HedgeCheck.Decision decision = hedgeCheck.decide(
                first.getEndpoint(), isOneLeft() && mayTryAnotherEndpoint(), estimate, getRemainingNanos());
        RequestDecisionLog.HedgeInputs inputs = new RequestDecisionLog.HedgeInputs(
                service, first.getEndpoint(), first.getElapsedNanos(), estimate, getRemainingNanos(), count, balance);
        RequestDecisionLog.writeHedge(context.log(), routedRequest, inputs, decision);
        EndpointState endpoint = decision.endpoint();
        if (endpoint == null) {
            context.meters().count("hedges_denied", decision.reason());
            return;
        }
        EndpointAttempt second = new EndpointAttempt(context, routedRequest, endpoint, this);
        hedge = second;
        send(second, null);
    }

    private void recordHedge(String outcome, long extraNanos) {
        context.meters().count("hedges", outcome);
        context.meters().time("hedge_extra_seconds", service, extraNanos);
    }

    // The time of an attempt that was given up before its delay does not tell whether it was slow.
    private void recordIfSlow(EndpointAttempt attempt) {
        if (attempt.getElapsedNanos() >= delayNanos) {
            context.hedging().delay().onEnded(service, attempt.getElapsedNanos());
        }
    }

    private void cancelHedgeTimer() {
        Timer timer = hedgeTimer;
        hedgeTimer = null;
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Gets the attempt that runs beside another one; null if none does. */
    private @Nullable EndpointAttempt getOther(EndpointAttempt attempt) {
        return attempt == hedge ? current : hedge;
    }

    // Ends an attempt that got no response to relay; returns true if another one goes on.
    private boolean endUnanswered(EndpointAttempt attempt) {
        cancelHedgeTimer();
        boolean otherRuns = getOther(attempt) != null;
        if (attempt == hedge) {
            hedge = null;
            recordHedge("failed", attempt.getElapsedNanos());
        } else {
            current = null;
        }
        return otherRuns;
    }

    // -----------------------------------------------------------------------

    @Override
    public void recordResult(String result) {
        results.add(result);
    }

    @Override
    public void onFirstEvent(long elapsedNanos) {
        EndpointAttempt attempt = current;
        if (attempt != null) {
            callbacks.onFirstEvent(attempt.getEndpoint().getVersion(), elapsedNanos);
        }
    }

    @Override
    public void onStreamCompleted() {
        current = null;
        callbacks.onStreamCompleted();
    }

    @Override
    public void onResponse(EndpointAttempt attempt, EndpointResponse response) {
        EndpointAttempt other = getOther(attempt);
        boolean failed = response.getStatus() >= EndpointAttempt.FIRST_FAILURE_STATUS;
        boolean rejected = EndpointAttempt.NOT_RUN_STATUSES.contains(response.getStatus());
        if (other != null && (failed || rejected)) {
            endUnanswered(attempt);
            return;
        }
        cancelHedgeTimer();
        boolean hedged = attempt == hedge;
        current = null;
        hedge = null;
        if (hedged) {
            recordHedge(failed ? "failed" : "won", other == null ? 0 : other.getElapsedNanos());
        } else if (other != null) {
            recordHedge("lost", other.getElapsedNanos());
        }
        if (!hedged && !failed && hedgeCheck.isSampled()) {
            context.hedging().delay().onEnded(service, attempt.getElapsedNanos());
        }
        if (other != null && hedged) {
            other.cancelSlow();
            recordIfSlow(other);
        } else if (other != null) {
            other.cancel();
        }
        callbacks.onResponse(response, attempt.getEndpoint(), attempt.getElapsedNanos());
    }

    @Override
    public void onFailure(EndpointAttempt attempt, CallFailure failure) {
        if (!failure.mayHaveRun()) {
            countWithPossibleEffect--;
        }
        if (failure == CallFailure.TIMEOUT && attempt != hedge) {
            recordIfSlow(attempt);
        }
        if (!endUnanswered(attempt)) {
            callbacks.onFailure(failure, attempt.getEndpoint());
        }
    }
}
