package org.fuchsiawharf.core.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StoreCopy;
import org.fuchsiawharf.core.store.StoreItem;
import org.fuchsiawharf.core.store.StorePosition;
import org.fuchsiawharf.core.store.WatchDuty;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Reports the changes of the store to the instances that follow this one.
 *
 * <p>Answers the load of changes that follow one another faster than a link carries one copy for each follower: a follower
 * has only a bounded number of bytes on their way to it. Further changes wait until it confirms the earlier ones, and are
 * then reported together, of each key the latest. Each follower thus learns of the latest state after at most the time
 * that the link takes for one report to each.
 *
 * <p>Confined to the decision loop.
 */
public final class StoreReporter {
    /** Size of an encoded item beside its key and value. */
    private static final int ITEM_OVERHEAD_BYTES = 16;

    private final PeerPort peers;
    private final StoreCopy copy;
    private final WatchDuty duty;
    private final TimerService timers;
    private final Map<String, FollowerProgress> progressByFollower = new HashMap<>();
    private boolean responded;
    private long responseNanos;

    /**
     * Creates a reporter without followers.
     *
     * @param peers sends the reports, not null
     * @param copy the copy of the store whose changes are reported, not null
     * @param duty is told of followers, not null
     * @param timers the timer service, not null
     */
    public StoreReporter(PeerPort peers, StoreCopy copy, WatchDuty duty, TimerService timers) {
        this.peers = peers;
        this.copy = copy;
        this.duty = duty;
        this.timers = timers;
    }

    /**
     * Called when the copy holds what the store has returned, possibly nothing new; reports it to each follower.
     *
     * @param afterOutage whether a removed item may reappear, because the store was unreachable shortly before
     */
    public void onResponse(boolean afterOutage) {
        responded = true;
        responseNanos = timers.now();
        Collection<String> followers = duty.getFollowers();
        progressByFollower.keySet().retainAll(followers);
        Map<StorePosition, Changes> changesByStart = new HashMap<>();
        progressByFollower.forEach((follower, progress) -> {
            if (afterOutage) {
                progress.onOutage();
            }
            if (!progress.isWaiting(timers.now())) {
                Changes changes = changesByStart.computeIfAbsent(progress.getSentPosition(), this::collectChanges);
                send(follower, progress, changes, true);
            }
        });
    }

    /**
     * Answers a request for the state.
     *
     * @param from the name of the instance that asks, not null
     * @param request the request, not null
     */
    public void onRequest(String from, PeerMessage.AskState request) {
        StorePosition position = copy.getPosition();
        if (!request.follow()) {
            if (position.compareTo(request.known()) > 0) {
                peers.send(from, new PeerMessage.PassEntries(position, copy.getValues()));
            }
            return;
        }
        duty.onFollowed(from);
        FollowerProgress progress = progressByFollower.computeIfAbsent(from, name -> new FollowerProgress());
        progress.onRequest(request, timers.now());
        if (position.compareTo(progress.getSentPosition()) > 0 && !progress.isWaiting(timers.now())) {
            send(from, progress, collectChanges(progress.getSentPosition()), false);
        }
    }

    // -----------------------------------------------------------------------

    /** The changes after a position; null items if they are not known one by one. */
    private record Changes(StorePosition after, @Nullable List<StoreItem> items) {}

    private Changes collectChanges(StorePosition after) {
        StorePosition position = copy.getPosition();
        return after.compareTo(position) >= 0
                ? new Changes(position, List.of())
                : new Changes(after, copy.getChangesSince(after));
    }

    private void send(String follower, FollowerProgress progress, Changes changes, boolean isResponse) {
        StorePosition position = copy.getPosition();
        List<StoreItem> items = changes.items();
        if (items == null) {
            Map<String, byte[]> values = copy.getValues();
            if (peers.send(follower, new PeerMessage.PassEntries(position, values))) {
                progress.onSent(position, sizeOf(values), timers.now());
            }
            return;
        }
        long bytes = sizeOf(items);
        RequestEcho echo = responded ? progress.createEcho(responseNanos) : null;
        PeerMessage.StoreChanges report = new PeerMessage.StoreChanges(
                changes.after(),
                position.revision(),
                items,
                progress.isAfterOutage(),
                !isResponse && echo == null,
                echo,
                progress.isFull(bytes));
        boolean isSent = peers.send(follower, report);
        if (isSent && !changes.after().equals(position)) {
            progress.onSent(position, bytes, timers.now());
        }
    }

    private static long sizeOf(List<StoreItem> items) {
        long bytes = 0;
        for (StoreItem item : items) {
            byte[] value = item.value();
            bytes += ITEM_OVERHEAD_BYTES + item.key().length() + (value == null ? 0 : value.length);
        }
        return bytes;
    }

    private static long sizeOf(Map<String, byte[]> values) {
        long bytes = 0;
        for (Map.Entry<String, byte[]> entry : values.entrySet()) {
            bytes += ITEM_OVERHEAD_BYTES + entry.getKey().length() + entry.getValue().length;
        }
        return bytes;
    }
}
