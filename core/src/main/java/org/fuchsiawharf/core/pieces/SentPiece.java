package org.fuchsiawharf.core.pieces;

import java.util.HashSet;
import java.util.Set;

/**
 * A piece that an instance has submitted and whose result is outstanding, possibly after several owners.
 *
 * <p>Confined to the decision loop.
 */
final class SentPiece {
    final String service;
    final PieceOrder order;
    final PieceListener listener;
    /** The names of the instances to which the piece was sent. */
    final Set<String> triedOwners = new HashSet<>();

    String owner = "";
    long sentNanos;

    SentPiece(String service, PieceOrder order, PieceListener listener) {
        this.service = service;
        this.order = order;
        this.listener = listener;
    }
}
