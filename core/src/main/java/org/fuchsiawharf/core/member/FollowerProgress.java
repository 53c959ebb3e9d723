package org.fuchsiawharf.core.member;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StorePosition;
import org.jspecify.annotations.Nullable;

/**
 * How far one follower of the store has been sent reports, and how far it has confirmed them by its requests.
 *
 * <p>A report that starts at the position sent leaves no gap, unless an earlier report was lost; then the follower is sent
 * everything after the position that it has confirmed. Confined to the decision loop.
 */
final class FollowerProgress {
    /** Unconfirmed bytes from which further reports wait for a confirmation. */
    private static final int MAX_UNCONFIRMED_BYTES = 8 * 1024;
    /** Time after which a report counts as lost if a later request does not confirm it, or none comes that was asked for. */
    private static final long LOSS_NANOS = 1_000_000_000L;

    private final Deque<SentReport> unconfirmed = new ArrayDeque<>();
    private StorePosition confirmedPosition = StorePosition.UNKNOWN;
    private StorePosition sentPosition = StorePosition.UNKNOWN;
    private long unconfirmedBytes;
    private boolean afterOutage;
    private @Nullable Long requestSentNanos;
    private long requestReceivedNanos;

    private record SentReport(StorePosition position, long bytes, long sentNanos) {}

    /** Called when the follower states the position that it knows. */
    void onRequest(PeerMessage.AskState request, long nowNanos) {
        confirmedPosition = request.known();
        requestSentNanos = request.sentNanos();
        requestReceivedNanos = nowNanos;
        while (!unconfirmed.isEmpty() && unconfirmed.element().position().compareTo(confirmedPosition) <= 0) {
            unconfirmedBytes -= unconfirmed.remove().bytes();
        }
        if (unconfirmed.isEmpty()
                || confirmedPosition.era() != sentPosition.era()
                || nowNanos - unconfirmed.element().sentNanos() > LOSS_NANOS) {
            restart();
        }
    }

    /** Called when a report that leads to a position has been passed to a connection. */
    void onSent(StorePosition position, long bytes, long nowNanos) {
        sentPosition = position;
        unconfirmed.add(new SentReport(position, bytes, nowNanos));
        unconfirmedBytes += bytes;
        afterOutage = false;
    }

    /** Called when the store was unreachable shortly before changes that the next report contains. */
    void onOutage() {
        afterOutage = true;
    }

    /** Checks whether an item that the next report removes may reappear. */
    boolean isAfterOutage() {
        return afterOutage;
    }

    /** Gets the position from which the next report starts. */
    StorePosition getSentPosition() {
        return sentPosition;
    }

    /** Checks whether reports wait for a confirmation; a follower that states no time is not asked for one. */
    boolean isWaiting(long nowNanos) {
        if (isFull(0) && nowNanos - unconfirmed.getLast().sentNanos() > LOSS_NANOS) {
            restart();
        }
        return isFull(0);
    }

    /** Checks whether reports wait for a confirmation once the given bytes have been sent. */
    boolean isFull(long additionalBytes) {
        return requestSentNanos != null && unconfirmedBytes + additionalBytes > MAX_UNCONFIRMED_BYTES;
    }

    /** Creates the echo for a report; null if the follower has stated no time. */
    @Nullable
    RequestEcho createEcho(long responseNanos) {
        Long sentNanos = requestSentNanos;
        return sentNanos == null ? null : new RequestEcho(sentNanos, responseNanos - requestReceivedNanos);
    }

    private void restart() {
        unconfirmed.clear();
        unconfirmedBytes = 0;
        sentPosition = confirmedPosition;
    }
}
