package org.fuchsiawharf.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The lost calls that have one suspect in common.
 *
 * <p>Confined to the decision loop.
 */
final class Suspicion {
    /** Number of trials for as long as the suspect is quarantined. */
    static final int MAX_TRIALS = 3;
    /** Crashed endpoints from which a suspect is quarantined. */
    static final int MIN_ENDPOINTS = 3;

    /** Prompts that a quarantined part has to occur in; one prompt alone may be sent to several crashing endpoints. */
    private static final int MIN_PROMPTS = 2;
    /** Crashed endpoints from which a part is quarantined even if it occurs in one prompt. */
    private static final int MIN_ENDPOINTS_OF_ONE_PROMPT = 5;

    /** Losses of one suspect that are kept; above the number that can be necessary for a quarantine. */
    private static final int MAX_LOSSES = 32;
    /** Losses of one suspect at one endpoint that are kept. */
    private static final int MAX_LOSSES_OF_ENDPOINT = 4;
    /** Time from the quarantine to the first trial; it doubles after each trial. */
    private static final long FIRST_TRIAL_DELAY_NANOS = 60_000_000_000L;

    private final Suspect.Kind kind;
    private final Map<LostCall, Long> lostNanosByCall = new HashMap<>();
    private long lastActiveNanos = Long.MIN_VALUE;
    private boolean quarantined;
    private int trials;
    private long lastTrialNanos;
    private long nextTrialNanos;

    /** A lost call, by the endpoint and the hash of the last part of the prompt. */
    record LostCall(String endpoint, long prompt) {}

    Suspicion(Suspect.Kind kind) {
        this.kind = kind;
    }

    /** Adds a loss; returns true if it was not known. */
    boolean add(LostCall call, long lostNanos) {
        onActive(lostNanos);
        if (lostNanosByCall.containsKey(call) || isFull(call.endpoint())) {
            return false;
        }
        lostNanosByCall.put(call, lostNanos);
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

    /** Notes that a request with the suspect was lost or refused at the given time. */
    void onActive(long nanos) {
        lastActiveNanos = Math.max(lastActiveNanos, nanos);
    }

    /** Gets the time of the last loss, or of the last refusal because of the quarantine. */
    long getLastActiveNanos() {
        return lastActiveNanos;
    }

    /** Gets the endpoints of the losses that have ended. */
    Set<String> findEndedEndpoints(Predicate<String> hasEnded) {
        Set<String> endpoints = new HashSet<>();
        lostNanosByCall.keySet().stream()
                .map(LostCall::endpoint)
                .filter(hasEnded)
                .forEach(endpoints::add);
        return endpoints;
    }

    /**
     * Checks whether the losses suffice for a quarantine.
     *
     * @param unexplained the endpoints of the losses that have ended for no other known reason
     */
    boolean isConclusive(Set<String> unexplained) {
        if (kind == Suspect.Kind.REQUEST) {
            return unexplained.size() >= MIN_ENDPOINTS;
        }
        long prompts = lostNanosByCall.keySet().stream()
                .filter(call -> unexplained.contains(call.endpoint()))
                .map(LostCall::prompt)
                .distinct()
                .count();
        return unexplained.size() >= MIN_ENDPOINTS_OF_ONE_PROMPT
                || (unexplained.size() >= MIN_ENDPOINTS && prompts >= MIN_PROMPTS);
    }

    // -----------------------------------------------------------------------

    boolean isQuarantined() {
        return quarantined;
    }

    void quarantine(long nowNanos) {
        quarantined = true;
        nextTrialNanos = Math.max(nextTrialNanos, nowNanos + FIRST_TRIAL_DELAY_NANOS);
    }

    /** Ends the quarantine; the losses are kept. */
    void release() {
        quarantined = false;
    }

    /** Starts a trial if one is due. */
    boolean tryStartTrial(long nowNanos) {
        return trials < MAX_TRIALS && nowNanos >= nextTrialNanos && addTrials(trials + 1, nowNanos);
    }

    /** Applies the number of trials that have begun and the time of the last; returns true if it was not known. */
    boolean addTrials(int count, long startedNanos) {
        if (count <= trials) {
            return false;
        }
        trials = count;
        lastTrialNanos = startedNanos;
        nextTrialNanos = startedNanos + (FIRST_TRIAL_DELAY_NANOS << Math.min(count, MAX_TRIALS));
        return true;
    }

    int getTrials() {
        return trials;
    }

    long getLastTrialNanos() {
        return lastTrialNanos;
    }

    /** Gets the time of the next trial, the maximum if none will follow. */
    long getNextTrialNanos() {
        return trials < MAX_TRIALS ? nextTrialNanos : Long.MAX_VALUE;
    }
}
