package org.fuchsiawharf.core.store;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.fuchsiawharf.core.time.TimerService;

/**
 * Decides whether this instance polls the store for changes itself.
 *
 * <p>It does while it is a selected watcher, while another instance follows it, and while no instance that it follows
 * has reported a recent response of the store for {@link #SILENCE_NANOS}: a watcher that has failed, stands still or is
 * cut off, or whose reports arrive late, costs its followers no more than that. What an instance reports is as old as
 * its own latest response, so that two instances cannot confirm each other without the store.
 *
 * <p>Confined to the decision loop.
 */
public final class WatchDuty {
    /**
     * Time without a recent report after which an instance polls itself. Reports arrive at least as often as a poll of the
     * store ends; with the poll that follows, a change is known before the shortest time for which an endpoint drains,
     * 2 s.
     */
    public static final long SILENCE_NANOS = 1_600_000_000L;
    /**
     * Age beyond which a report confirms nothing. The next report is then expected to be as old and a poll interval later,
     * by which time the silence is too long.
     */
    public static final long MAX_REPORT_AGE_NANOS = 600_000_000L;
    /** Time for which a follower is sent reports after its last request. */
    private static final long FOLLOWER_NANOS = 5_000_000_000L;

    private final BooleanSupplier isWatcher;
    private final TimerService timers;
    private final Map<String, Long> followedUntilNanos = new TreeMap<>();
    private long confirmedNanos;

    /**
     * Creates a duty; an instance that is no watcher polls after the first silence only.
     *
     * @param isWatcher whether this instance is a selected watcher, not null
     * @param timers the timer service, not null
     */
    public WatchDuty(BooleanSupplier isWatcher, TimerService timers) {
        this.isWatcher = isWatcher;
        this.timers = timers;
        this.confirmedNanos = timers.now();
    }

    /**
     * Called when another instance has reported a response of the store that leaves no gap to the known state.
     *
     * @param ageNanos the time since that instance had the response, at least 0
     */
    public void onConfirmed(long ageNanos) {
        if (ageNanos <= MAX_REPORT_AGE_NANOS) {
            confirmedNanos = Math.max(confirmedNanos, timers.now() - ageNanos);
        }
    }

    /**
     * Called when another instance asks to be told of changes.
     *
     * @param instance the name of the instance, not null
     */
    public void onFollowed(String instance) {
        followedUntilNanos.put(instance, timers.now() + FOLLOWER_NANOS);
    }

    /**
     * Gets the instances to which changes are reported.
     *
     * @return the names, never null
     */
    public Collection<String> getFollowers() {
        followedUntilNanos.values().removeIf(until -> until <= timers.now());
        return List.copyOf(followedUntilNanos.keySet());
    }

    /**
     * Checks whether this instance polls the store.
     *
     * @return true if it is a watcher, is followed, or was told nothing recent for too long
     */
    public boolean isDue() {
        return isWatcher.getAsBoolean() || !getFollowers().isEmpty() || !isConfirmed();
    }

    /**
     * Checks whether another instance has reported a recent response of the store.
     *
     * @return true until the silence is too long
     */
    public boolean isConfirmed() {
        return timers.now() - confirmedNanos <= SILENCE_NANOS;
    }
}
