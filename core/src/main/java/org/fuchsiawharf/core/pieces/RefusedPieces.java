package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decides what happens to pieces that a full connection refused.
 *
 * <p>A piece goes to its next destination. If there is none, it is held among the outstanding pieces until the next
 * tick, so that it can be cancelled and resubmitted like these; its owner has not received it. A refused destination
 * can be tried again.
 *
 * <p>Confined to the decision loop.
 */
final class RefusedPieces {
    private final OutstandingPieces outstanding;
    private final PoolSelector selector;

    RefusedPieces(OutstandingPieces outstanding, PoolSelector selector) {
        this.outstanding = outstanding;
        this.selector = selector;
    }

    /** Holds the pieces without an untried destination, and returns the others, to be sent at once. */
    List<SentPiece> selectSendable(List<SentPiece> refused) {
        List<SentPiece> sendable = new ArrayList<>();
        for (SentPiece piece : refused) {
            piece.refusedDestinations.add(piece.destination);
            if (selector.findUntried(piece) == null) {
                piece.triedDestinations.removeAll(piece.refusedDestinations);
                piece.refusedDestinations.clear();
                piece.held = true;
                outstanding.add(piece);
            } else {
                sendable.add(piece);
            }
        }
        return sendable;
    }

    /** Removes the held pieces and returns them by service. */
    Map<String, List<SentPiece>> removeHeld() {
        return outstanding.removeIf(piece -> piece.held);
    }
}
