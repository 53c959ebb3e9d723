package org.fuchsiawharf.daemon.load;

/**
 * The work done by a stage, and the part of it that was needed for requests answered within their deadline.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stage the name of the stage
 * @param done the units of work done: tokens of an engine, calls of a pool
 * @param needed the units of work needed for the requests that were answered within their deadline
 */
public record StageCost(String stage, double done, double needed) {
    /**
     * Gets the work done as a multiple of the work needed.
     *
     * @return the ratio, 1 if no work was wasted, 0 if no work was needed
     */
    public double getRatio() {
        return needed == 0 ? 0 : done / needed;
    }
}
