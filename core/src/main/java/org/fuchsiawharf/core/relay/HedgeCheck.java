package org.fuchsiawharf.core.relay;

import java.util.Locale;

import org.fuchsiawharf.core.retry.HedgeBudget;
import org.fuchsiawharf.core.retry.HedgeDelay;
import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.routing.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request that is slow is sent to a second endpoint at the same time.
 *
 * <p>A hedge gives way to everything else: it is sent only if the service has free slots, the other endpoint is sound and
 * unlimited, the request is not suspected of crashing endpoints, and the budgets allow it. Confined to the decision loop.
 */
final class HedgeCheck {
    /** The reason of a hedge that is sent. */
    private static final String SLOW = "slow";

    private final RelayContext context;
    private final RoutedRequest routedRequest;
    private final EndpointChoice choice;
    private final String service;

    /**
     * The decision on a hedge.
     *
     * @param reason why the hedge is sent or not
     * @param endpoint the endpoint of the hedge, null if it is not sent
     */
    record Decision(String reason, @Nullable EndpointState endpoint) {}

    HedgeCheck(RelayContext context, RoutedRequest routedRequest, EndpointChoice choice, String service) {
        this.context = context;
        this.routedRequest = routedRequest;
        this.choice = choice;
        this.service = service;
    }

    /** Checks whether hedges are configured and the request is of a kind that is hedged. */
    boolean isApplicable() {
        return !context.hedging().limits().isOff()
                && routedRequest.route().kind().isRepeatable()
                && isSampled();
    }

    /** Checks whether the times of the request are those of its service alone. */
    boolean isSampled() {
        return !context.hedging().limits().isOff()
                && !routedRequest.route().kind().isStream()
                && routedRequest.route().stages().isEmpty();
    }

    /**
     * Decides on a hedge; its budget is spent if the decision has an endpoint.
     *
     * @param first the endpoint of the slow call
     * @param attemptsLeft whether the limits of attempts allow one more
     * @param estimate the response times on which the delay is based
     * @param remainingNanos the time until the deadline, in nanoseconds
     */
    Decision decide(EndpointState first, boolean attemptsLeft, HedgeDelay.Estimate estimate, long remainingNanos) {
        if (!attemptsLeft) {
            return reject("no_attempts_left");
        }
        if (remainingNanos < estimate.medianNanos()) {
            return reject("late");
        }
        if (context.quarantine().isSuspected(routedRequest.suspects())) {
            return reject("suspected");
        }
        if (choice.isServiceFull()) {
            return reject("service_full");
        }
        EndpointState other = choice.selectOther(first);
        if (other == null) {
            return reject("no_other_endpoint");
        }
        String obstacle = findObstacle(other);
        if (obstacle != null) {
            return reject(obstacle);
        }
        HedgeBudget.Result result = context.hedging().budget().trySpend(service);
        return result == HedgeBudget.Result.GRANTED
                ? new Decision(SLOW, other)
                : reject(result.name().toLowerCase(Locale.ROOT));
    }

    // The selector also selects endpoints that are probed, or that accept a limited number of requests.
    private @Nullable String findObstacle(EndpointState endpoint) {
        if (endpoint.isEjected() || !endpoint.isUsable()) {
            return "endpoint_ejected";
        }
        long now = context.timers().now();
        if (endpoint.getRequestLimit().isCold(now)) {
            return "endpoint_cold";
        }
        if (endpoint.getRequestLimit().getPerSecond() != 0
                || !endpoint.getRequestLimit().maySend(now)) {
            return "endpoint_limited";
        }
        if (endpoint.getBrittleness().getMaxRejections() != Brittleness.NONE) {
            return "endpoint_brittle";
        }
        return EndpointChoice.isFull(endpoint, now) ? "endpoint_full" : null;
    }

    private static Decision reject(String reason) {
        return new Decision(reason, null);
    }
}
