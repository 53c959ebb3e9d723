package org.fuchsiawharf.core.log;

/**
 * Counters and duration histograms of an instance.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface Meters {
    /** Discards all values. */
    Meters NONE = new Meters() {
        @Override
        public void count(String name, String label, long amount) {}

        @Override
        public void time(String name, String label, long nanos) {}
    };

    /**
     * Adds an amount to a counter.
     *
     * @param name the counter's name in lower case with underscores, not null
     * @param label the label value that identifies the series of the counter, not null
     * @param amount the amount to add
     */
    void count(String name, String label, long amount);

    /**
     * Adds a duration to a histogram.
     *
     * @param name the histogram's name in lower case with underscores, not null
     * @param label the label value that identifies the series of the histogram, not null
     * @param nanos the duration, in nanoseconds
     */
    void time(String name, String label, long nanos);

    /**
     * Adds one to a counter.
     *
     * @param name the counter's name, not null
     * @param label the label value that identifies the series of the counter, not null
     */
    default void count(String name, String label) {
        count(name, label, 1);
    }
}
