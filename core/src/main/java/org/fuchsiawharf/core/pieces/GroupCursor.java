package org.fuchsiawharf.core.pieces;

import java.util.Comparator;
import java.util.Iterator;
import java.util.SortedSet;

/**
 * A position in the ordered pieces of a group while a batch is selected.
 *
 * <p>There is always a head. The pieces must not change while the cursor is in use.
 *
 * <p>Confined to the decision loop.
 */
final class GroupCursor {
    /** Orders cursors by the urgency of their heads, to which the wait across zones is added. */
    static final Comparator<GroupCursor> BY_URGENCY = Comparator.<GroupCursor>comparingLong(
                    cursor -> cursor.head.getSortKey() + cursor.waitNanos)
            .thenComparingLong(cursor -> cursor.head.sequence);

    private final Iterator<QueuedPiece> pieces;
    private final long waitNanos;
    private QueuedPiece head;

    /** Creates a cursor at the first of the pieces, which must not be empty. */
    GroupCursor(SortedSet<QueuedPiece> pieces, long waitNanos) {
        this.pieces = pieces.iterator();
        this.waitNanos = waitNanos;
        this.head = this.pieces.next();
    }

    QueuedPiece getHead() {
        return head;
    }

    long getWaitNanos() {
        return waitNanos;
    }

    /** Moves to the next piece; returns false if there is none. */
    boolean advance() {
        if (!pieces.hasNext()) {
            return false;
        }
        head = pieces.next();
        return true;
    }
}
