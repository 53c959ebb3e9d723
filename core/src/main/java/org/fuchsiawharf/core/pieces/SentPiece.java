package org.fuchsiawharf.core.pieces;

import java.util.HashSet;
import java.util.Set;

/**
 * A piece on its way through the pools of one instance or several.
 *
 * <p>Confined to the decision loop.
 */
final class SentPiece {
    final String service;
    final PieceOrder order;
    final PieceListener listener;
    /** The names of the instances that had it. */
    final Set<String> triedOwners = new HashSet<>();

    String owner = "";
    long sentNanos;

    SentPiece(String service, PieceOrder order, PieceListener listener) {
        this.service = service;
        this.order = order;
        this.listener = listener;
    }
}
