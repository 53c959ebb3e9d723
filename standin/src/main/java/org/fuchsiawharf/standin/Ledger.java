package org.fuchsiawharf.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * What endpoints ran, kept apart from what instances say.
 *
 * <p>Thread-safe.
 */
public final class Ledger {
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Run> runs = new ArrayList<>();

    /** Creates an empty ledger. */
    public Ledger() {}

    /**
     * One run of a stage that began.
     *
     * <p>Written by its endpoint, read by others; a run's units only grow. Thread-safe.
     */
    public static final class Run {
        private final String endpoint;
        private final String service;
        private final String stage;
        private final String attempt;
        private final String nonce;
        private final boolean crossed;
        private final boolean generates;
        private final long beganNanos = System.nanoTime();
        private volatile double units;
        private volatile long endedNanos;

        private Run(String endpoint, ServiceProfile profile, StageTask task) {
            this.endpoint = endpoint;
            this.service = profile.service();
            this.stage = task.stage();
            this.attempt = task.attempt();
            this.nonce = task.nonce();
            this.crossed = task.isCrossed();
            this.generates = profile.kind() == ServiceProfile.Kind.ENGINE;
        }

        /**
         * Adds work done.
         *
         * @param more tokens of an engine, calls of a pool
         */
        synchronized void addUnits(double more) {
            units += more;
        }

        /** Notes that the run came to its end. */
        void complete() {
            endedNanos = System.nanoTime();
        }

        /**
         * Writes the run as a value.
         *
         * @return the value, never null
         */
        public View toView() {
            return new View(endpoint, service, stage, attempt, nonce, crossed, generates, units, toMillis());
        }

        private double toMillis() {
            return endedNanos == 0 ? -1 : (endedNanos - beganNanos) / NANOS_PER_MILLI;
        }
    }

    /**
     * One run at one moment.
     *
     * <p>Immutable and thread-safe.
     *
     * @param endpoint the endpoint's name
     * @param service its service
     * @param stage the stage
     * @param attempt the attempt's id as the instance sent it
     * @param nonce the caller's mark in the request's body
     * @param crossed whether the previous stage's answer bore another mark than the body
     * @param generates whether the units are tokens
     * @param units work done: tokens of an engine, calls of a pool
     * @param millis the run's time, in milliseconds, -1 if it did not come to its end
     */
    public record View(
            String endpoint,
            String service,
            String stage,
            String attempt,
            String nonce,
            boolean crossed,
            boolean generates,
            double units,
            double millis) {}

    /**
     * Every run of a ledger.
     *
     * @param runs the runs in the order they began
     */
    public record Page(List<View> runs) {}

    /**
     * Notes that a run begins.
     *
     * @param endpoint the endpoint's name, not null
     * @param profile its service's profile, not null
     * @param task the task that begins, not null
     * @return the run, never null
     */
    synchronized Run begin(String endpoint, ServiceProfile profile, StageTask task) {
        Run run = new Run(endpoint, profile, task);
        runs.add(run);
        return run;
    }

    /**
     * Gets every run so far.
     *
     * @return a copy, never null
     */
    public synchronized Page toPage() {
        return new Page(runs.stream().map(Run::toView).toList());
    }
}
