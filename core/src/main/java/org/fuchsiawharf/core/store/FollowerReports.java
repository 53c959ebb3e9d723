package org.fuchsiawharf.core.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the latest request of each instance that follows this one.
 *
 * <p>Confined to the decision loop.
 */
public final class FollowerReports {
    private final TimerService timers;
    private final Map<String, Request> requestByFollower = new HashMap<>();

    private record Request(long sentNanos, long receivedNanos) {}

    /**
     * Creates a tracker without followers.
     *
     * @param timers the timer service, not null
     */
    public FollowerReports(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Called when a follower asks for reports.
     *
     * @param follower the name of the instance, not null
     * @param sentNanos the time of the request on the clock of the follower, null if it stated none
     */
    public void onRequest(String follower, @Nullable Long sentNanos) {
        if (sentNanos == null) {
            requestByFollower.remove(follower);
        } else {
            requestByFollower.put(follower, new Request(sentNanos, timers.now()));
        }
    }

    /**
     * Discards what is known of all instances but the given ones.
     *
     * @param followers the names of the instances that follow this one, not null
     */
    public void retain(Collection<String> followers) {
        requestByFollower.keySet().retainAll(followers);
    }

    /**
     * Creates the echo for a report.
     *
     * @param follower the name of the receiver, not null
     * @param responseNanos the time of the store's response that is reported
     * @return the echo, null if the follower has stated no time
     */
    public @Nullable RequestEcho createEcho(String follower, long responseNanos) {
        Request request = requestByFollower.get(follower);
        return request == null ? null : new RequestEcho(request.sentNanos(), responseNanos - request.receivedNanos());
    }
}
