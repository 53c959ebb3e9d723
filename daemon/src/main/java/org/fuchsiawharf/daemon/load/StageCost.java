package org.fuchsiawharf.daemon.load;

/**
 * The work that one stage did, and the work that its answered requests needed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stage the stage's name
 * @param done units done: tokens of an engine, calls of a pool
 * @param needed units that the answered requests needed
 */
public record StageCost(String stage, double done, double needed) {
    /**
     * Gets the work done as a multiple of the work needed.
     *
     * @return 1 if nothing was wasted, 0 if nothing was needed
     */
    public double getRatio() {
        return needed == 0 ? 0 : done / needed;
    }
}
