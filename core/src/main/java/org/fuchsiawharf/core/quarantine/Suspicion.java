package org.fuchsiawharf.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The lost calls whose prompts share one part.
 *
 * <p>Confined to the decision loop.
 */
final class Suspicion {
    /** Crashed endpoints from which a part is quarantined if calls of several prompts were lost with them. */
    private static final int MIN_ENDPOINTS = 3;
    /** Prompts that a quarantined part has to occur in; one prompt alone may be sent to several crashing endpoints. */
    private static final int MIN_PROMPTS = 2;
    /** Crashed endpoints from which a part is quarantined even if it occurs in one prompt. */
    private static final int MIN_ENDPOINTS_OF_ONE_PROMPT = 5;

    /** Losses of one part that are kept; above the number that can be necessary for a quarantine. */
    private static final int MAX_LOSSES = 32;
    /** Losses of one part at one endpoint that are kept. */
    private static final int MAX_LOSSES_OF_ENDPOINT = 4;

    private final Map<LostCall, Long> lostNanosByCall = new HashMap<>();
    private long lastLostNanos = Long.MIN_VALUE;
    private boolean quarantined;
    private long nextTrialNanos;
    private long trialIntervalNanos;

    /** A lost call, by the name of the endpoint and the hash of the last part of the prompt. */
    record LostCall(String endpoint, long prompt) {}

    /** Adds a loss; returns true if it was not known. */
    boolean add(LostCall call, long lostNanos) {
        if (lostNanosByCall.containsKey(call) || isFull(call.endpoint())) {
            return false;
        }
        lostNanosByCall.put(call, lostNanos);
        lastLostNanos = Math.max(lastLostNanos, lostNanos);
        return true;
    }

    private boolean isFull(String endpoint) {
        return lostNanosByCall.size() >= MAX_LOSSES
                || lostNanosByCall.keySet().stream()
                                .filter(call -> call.endpoint().equals(endpoint))
                                .count()
                        >= MAX_LOSSES_OF_ENDPOINT;
    }

    Map<LostCall, Long> getLosses() {
        return lostNanosByCall;
    }

    long getLastLostNanos() {
        return lastLostNanos;
    }

    int countEndpoints(Predicate<String> hasEnded) {
        return (int) lostNanosByCall.keySet().stream()
                .map(LostCall::endpoint)
                .filter(hasEnded)
                .distinct()
                .count();
    }

    /** Checks whether the losses suffice for a quarantine; losses with endpoints that have not ended do not count. */
    boolean isConclusive(Predicate<String> hasEnded) {
        Set<String> endpoints = new HashSet<>();
        Set<Long> prompts = new HashSet<>();
        for (LostCall call : lostNanosByCall.keySet()) {
            if (hasEnded.test(call.endpoint())) {
                endpoints.add(call.endpoint());
                prompts.add(call.prompt());
            }
        }
        return endpoints.size() >= MIN_ENDPOINTS_OF_ONE_PROMPT
                || (endpoints.size() >= MIN_ENDPOINTS && prompts.size() >= MIN_PROMPTS);
    }

    boolean isQuarantined() {
        return quarantined;
    }

    void quarantine(long nowNanos, long firstTrialDelayNanos) {
        quarantined = true;
        trialIntervalNanos = firstTrialDelayNanos;
        nextTrialNanos = nowNanos + firstTrialDelayNanos;
    }

    /** Starts a trial if one is due; the interval to the next doubles. */
    boolean tryStartTrial(long nowNanos) {
        if (nowNanos < nextTrialNanos) {
            return false;
        }
        trialIntervalNanos *= 2;
        nextTrialNanos = nowNanos + trialIntervalNanos;
        return true;
    }

    long getNextTrialNanos() {
        return nextTrialNanos;
    }
}
