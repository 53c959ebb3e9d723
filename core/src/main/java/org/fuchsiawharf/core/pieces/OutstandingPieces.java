package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The pieces that other instances run for this one.
 *
 * <p>Confined to the decision loop.
 */
final class OutstandingPieces {
    private final Map<PieceId, SentPiece> pieces = new LinkedHashMap<>();
    private final Map<String, Set<PieceId>> idsByRequest = new HashMap<>();

    void add(SentPiece piece) {
        PieceId id = piece.order.id();
        pieces.put(id, piece);
        idsByRequest.computeIfAbsent(id.requestId(), r -> new HashSet<>()).add(id);
    }

    @Nullable
    SentPiece get(PieceId id) {
        return pieces.get(id);
    }

    void remove(PieceId id) {
        pieces.remove(id);
        Set<PieceId> ids = idsByRequest.get(id.requestId());
        if (ids != null && ids.remove(id) && ids.isEmpty()) {
            idsByRequest.remove(id.requestId());
        }
    }

    int size() {
        return pieces.size();
    }

    long countAt(String owner) {
        return pieces.values().stream()
                .filter(piece -> piece.destination.owner().equals(owner))
                .count();
    }

    /** Removes the pieces of a request and returns the pools to which they were sent. */
    Set<SentPiece.Destination> removeRequest(String service, String requestId) {
        Set<SentPiece.Destination> destinations = new HashSet<>();
        for (PieceId id : List.copyOf(idsByRequest.getOrDefault(requestId, Set.of()))) {
            SentPiece piece = pieces.get(id);
            if (piece != null && piece.service.equals(service)) {
                destinations.addAll(piece.triedDestinations);
                remove(id);
            }
        }
        return destinations;
    }

    /** Removes all matching pieces and returns them by service, in the order in which they were added. */
    Map<String, List<SentPiece>> removeIf(Predicate<SentPiece> condition) {
        Map<String, List<SentPiece>> removed = new HashMap<>();
        for (SentPiece piece : pieces.values().stream().filter(condition).toList()) {
            remove(piece.order.id());
            removed.computeIfAbsent(piece.service, s -> new ArrayList<>()).add(piece);
        }
        return removed;
    }

    /** Finds the instances that run a piece and from which no message has arrived since the given time. */
    Set<String> findSilentOwners(OwnerSelector owners, long sinceNanos) {
        Set<String> silentOwners = new HashSet<>();
        for (SentPiece piece : pieces.values()) {
            if (Math.max(piece.sentNanos, owners.getLastReceivedNanos(piece.destination.owner())) < sinceNanos) {
                silentOwners.add(piece.destination.owner());
            }
        }
        return silentOwners;
    }
}
