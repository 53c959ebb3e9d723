package org.fuchsiawharf.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * Record of the stage runs of all endpoints, independent of the reports of the instances.
 *
 * <p>Thread-safe.
 */
public final class Ledger {
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Run> runs = new ArrayList<>();

    /** Creates an empty ledger. */
    public Ledger() {}

    /**
     * A started run of a stage.
     *
     * <p>Updated by the endpoint that runs the stage; the number of units never decreases. Thread-safe.
     */
    public static final class Run {
        private final String endpoint;
        private final String service;
        private final String stage;
        private final String attempt;
        private final String nonce;
        private final boolean crossed;
        private final boolean generates;
        private final long startNanos = System.nanoTime();
        private volatile double units;
        private volatile long endNanos;

        private Run(String endpoint, ServiceProfile profile, StageTask task) {
            this.endpoint = endpoint;
            this.service = profile.service();
            this.stage = task.stage();
            this.attempt = task.attempt();
            this.nonce = task.nonce();
            this.crossed = task.hasMismatchedNonce();
            this.generates = profile.kind() == ServiceProfile.Kind.ENGINE;
        }

        /**
         * Adds units of work.
         *
         * @param amount the number of units: tokens of an engine, calls of a pool
         */
        synchronized void addUnits(double amount) {
            units += amount;
        }

        /** Marks the run as complete. */
        void complete() {
            endNanos = System.nanoTime();
        }

        /**
         * Gets a snapshot of the run.
         *
         * @return the snapshot, never null
         */
        public View toView() {
            return new View(endpoint, service, stage, attempt, nonce, crossed, generates, units, getDurationMillis());
        }

        private double getDurationMillis() {
            return endNanos == 0 ? -1 : (endNanos - startNanos) / NANOS_PER_MILLI;
        }
    }

    /**
     * Snapshot of a run.
     *
     * <p>Immutable and thread-safe.
     *
     * @param endpoint the endpoint's name
     * @param service the name of the endpoint's service
     * @param stage the name of the stage
     * @param attempt the attempt id sent by the instance
     * @param nonce the caller's nonce in the body of the call
     * @param crossed whether the nonce in the previous stage's result differs from the caller's nonce, which means
     *     that results of different requests were mixed up
     * @param generates whether the units are tokens
     * @param units the work performed: tokens of an engine, calls of a pool
     * @param millis the duration of the run, in milliseconds, -1 if the run is not complete
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
     * All runs of a ledger.
     *
     * @param runs the runs in the order of their start
     */
    public record Page(List<View> runs) {}

    /**
     * Records the start of a run.
     *
     * @param endpoint the endpoint's name, not null
     * @param profile the profile of the endpoint's service, not null
     * @param task the call that is run, not null
     * @return the run, never null
     */
    synchronized Run start(String endpoint, ServiceProfile profile, StageTask task) {
        Run run = new Run(endpoint, profile, task);
        runs.add(run);
        return run;
    }

    /**
     * Gets all runs recorded so far.
     *
     * @return a copy, never null
     */
    public synchronized Page toPage() {
        return new Page(runs.stream().map(Run::toView).toList());
    }
}
