package org.fuchsiawharf.core.limits;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.routing.EndpointState;

/**
 * The brittle endpoints of one service, and how far the instances use their room.
 *
 * <p>Confined to the decision loop.
 */
final class BrittleService {
    private static final double MIN_USE_FACTOR = 0.25;
    private static final double MAX_USE_FACTOR = 2;
    /** Increase of the maximum of the factor for each rejection beyond the first that an endpoint can make in a second. */
    private static final double USE_FACTOR_PER_REJECTION = 0.15;
    /** Share of running calls up to which an endpoint counts as idle; one slot is idle between two calls. */
    private static final double IDLE_SHARE = 0.8;
    /** Change of the factor after a report of an idle endpoint. */
    private static final double IDLE_STEP = 0.02;
    /** Change of the factor after a call that an endpoint has run. */
    private static final double ACCEPTED_STEP = 0.004;
    /** Change of the factor after a report of waiting calls. */
    private static final double WAITING_STEP = 0.05;
    /** Multiplies the factor after a rejection. */
    private static final double REJECTION_FACTOR = 0.8;

    /** Time in which endpoints end the calls that were sent before they were known to be brittle. */
    private static final long DRAIN_NANOS = 2_000_000_000L;

    private final Set<String> brittleProcesses = new HashSet<>();
    private double maxRejections = Brittleness.NONE;
    private long startedNanos = Long.MIN_VALUE;
    private double useFactor = 1;
    private int reportedSlots;
    private long reservedCalls;

    /** Gets the maximum named by an endpoint, if one named it after the given time and is brittle still. */
    double getMaxRejections(long lastAbsentNanos) {
        return !brittleProcesses.isEmpty() && lastAbsentNanos < startedNanos ? maxRejections : Brittleness.NONE;
    }

    /** Gets the time at which the first endpoint became brittle. */
    long getStartedNanos() {
        return startedNanos;
    }

    /** Checks whether all calls at an endpoint were bound by the shares when a request was sent. */
    boolean isBoundByShares(long sentNanos) {
        return sentNanos >= startedNanos + DRAIN_NANOS;
    }

    /** Gets the factor by which the calls of all instances together may exceed the slots of an endpoint. */
    double getUseFactor() {
        return useFactor;
    }

    int getSlots(int defaultSlots) {
        return reportedSlots == 0 ? defaultSlots : reportedSlots;
    }

    // -----------------------------------------------------------------------

    void onBrittle(String process, double max, long nowNanos) {
        if (brittleProcesses.isEmpty()) {
            startedNanos = nowNanos;
            useFactor = 1;
        }
        brittleProcesses.add(process);
        maxRejections = max;
    }

    void onSound(String process) {
        brittleProcesses.remove(process);
    }

    /** Removes endpoints that are not listed; a restarted one has stated nothing. */
    void retainEndpoints(Collection<EndpointState> endpoints) {
        if (!brittleProcesses.isEmpty()) {
            brittleProcesses.retainAll(
                    endpoints.stream().map(EndpointState::getProcess).collect(Collectors.toSet()));
        }
    }

    void onReport(boolean brittle, int running, int waiting, int slots) {
        reportedSlots = Math.max(1, slots);
        if (brittle && waiting > 0) {
            useFactor = Math.max(Math.min(useFactor, 1), useFactor - WAITING_STEP);
        } else if (brittle && running <= IDLE_SHARE * slots) {
            increase(IDLE_STEP);
        }
    }

    void onAccepted() {
        increase(ACCEPTED_STEP);
    }

    // The calls of all instances exceed the slots only if the endpoint can reject some of them.
    private void increase(double step) {
        double limit = Math.min(MAX_USE_FACTOR, 1 + USE_FACTOR_PER_REJECTION * Math.max(0, maxRejections - 1));
        useFactor = Math.min(limit, useFactor + step);
    }

    boolean tryReserve(long room) {
        boolean free = reservedCalls < room;
        reservedCalls += free ? 1 : 0;
        return free;
    }

    void release() {
        reservedCalls--;
    }

    void onRejected(long sentNanos) {
        if (isBoundByShares(sentNanos)) {
            useFactor = Math.max(MIN_USE_FACTOR, useFactor * REJECTION_FACTOR);
        }
    }
}
