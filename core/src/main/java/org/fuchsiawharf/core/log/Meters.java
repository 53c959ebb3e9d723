package org.fuchsiawharf.core.log;

/**
 * Counts what an instance does and how long it takes.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface Meters {
    /** Counts nothing. */
    Meters NONE = new Meters() {
        @Override
        public void count(String name, String label, long amount) {}

        @Override
        public void time(String name, String label, long nanos) {}
    };

    /**
     * Adds to a counter.
     *
     * @param name the counter's name in lower case with underscores, not null
     * @param label tells entries of one counter apart, not null
     * @param amount what to add
     */
    void count(String name, String label, long amount);

    /**
     * Adds a duration to a histogram.
     *
     * @param name the histogram's name in lower case with underscores, not null
     * @param label tells entries of one histogram apart, not null
     * @param nanos the duration, in nanoseconds
     */
    void time(String name, String label, long nanos);

    /**
     * Adds one to a counter.
     *
     * @param name the counter's name, not null
     * @param label tells entries of one counter apart, not null
     */
    default void count(String name, String label) {
        count(name, label, 1);
    }
}
