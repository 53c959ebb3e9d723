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
    /** The pools and their owners to which the piece was sent. */
    final Set<Destination> triedDestinations = new HashSet<>();
    /** The destinations to which the connection was full since the piece was last held. */
    final Set<Destination> refusedDestinations = new HashSet<>();

    /** The pool to which the piece was sent last, and the instance that runs it. */
    Destination destination;

    long sentNanos;

    /** Whether the piece waits for the next tick, since all its destinations refused it or were tried. */
    boolean held;

    /**
     * A pool on an instance.
     *
     * @param pool the pool
     * @param owner the name of the instance
     */
    record Destination(PoolKey pool, String owner) {}

    SentPiece(String service, PieceOrder order, PieceListener listener) {
        this.service = service;
        this.order = order;
        this.listener = listener;
        this.destination = new Destination(PoolKey.ofAllZones(service), "");
    }

    /** Checks whether another piece belongs to the same stage of the same request and was sent to the same pools. */
    boolean isSentLike(SentPiece other) {
        return order.id().requestId().equals(other.order.id().requestId())
                && order.id().stage() == other.order.id().stage()
                && triedDestinations.equals(other.triedDestinations);
    }
}
