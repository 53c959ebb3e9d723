package org.fuchsiawharf.core.pieces;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.commons.codec.digest.MurmurHash3;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.route.PieceService;
import org.jspecify.annotations.Nullable;

/**
 * Selects the pool to which pieces are sent, where a service has a pool in each availability zone.
 *
 * <p>Answers load that is uneven between zones: a burst in one zone, or the loss of endpoints or of the owner there.
 * Pieces go to the zone of their data unless a second pool is expected to be faster, the transfer included. Backlogs
 * are known with a delay; comparing with one other pool, drawn by the request, keeps all instances from moving to the
 * same pool at once. All pieces of a stage of a request go to the same pool.
 *
 * <p>Confined to the decision loop.
 */
final class PoolSelector {
    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolLayout layout;
    private final OwnerSelector owners;
    private final String selfName;
    private final PoolBacklogs backlogs;

    PoolSelector(PoolLayout layout, OwnerSelector owners, String selfName, PoolBacklogs backlogs) {
        this.layout = layout;
        this.owners = owners;
        this.selfName = selfName;
        this.backlogs = backlogs;
    }

    /** Gets the pools of a service of which an owner can be reached; all if there are none. */
    List<PoolKey> getOpenPools(String service) {
        List<PoolKey> pools = layout.getPools(service);
        List<PoolKey> open = pools.stream()
                .filter(pool -> !owners.getCandidates(pool).isEmpty())
                .toList();
        return open.isEmpty() ? pools : open;
    }

    /** Orders the open pools of a service by preference for a piece. */
    private List<PoolKey> order(String service, PieceOrder piece) {
        List<PoolKey> open = getOpenPools(service);
        PieceService spec = layout.getSpec(service);
        if (open.size() == 1 || spec == null) {
            return open;
        }
        String requestId = piece.id().requestId();
        List<PoolKey> ordered = new ArrayList<>(open);
        ordered.sort(Comparator.comparing(backlogs::isWithoutEndpoints)
                .thenComparing(pool -> !isNearData(pool, piece))
                .thenComparing(pool -> draw(requestId, pool)));
        if (!backlogs.isWithoutEndpoints(ordered.get(1))
                && expectedMillis(ordered.get(1), piece, spec) < expectedMillis(ordered.get(0), piece, spec)) {
            ordered.add(0, ordered.remove(1));
        }
        return ordered;
    }

    /** Groups pieces by their next destinations; those that were sent to all are passed to an action. */
    Map<SentPiece.Destination, List<SentPiece>> assign(List<SentPiece> pieces, Consumer<SentPiece> onNoneLeft) {
        Map<SentPiece.Destination, List<SentPiece>> byDestination = new LinkedHashMap<>();
        SentPiece previous = null;
        SentPiece.Destination destination = null;
        for (SentPiece piece : pieces) {
            if (previous == null || !piece.isSentLike(previous)) {
                destination = findUntried(piece);
            }
            previous = piece;
            if (destination == null) {
                onNoneLeft.accept(piece);
            } else {
                byDestination
                        .computeIfAbsent(destination, d -> new ArrayList<>())
                        .add(piece);
            }
        }
        return byDestination;
    }

    /**
     * Finds a pool and an owner to which a piece was not sent before: the preferred one, else another, else this
     * instance if no pool has an owner that can be reached.
     *
     * @return the pool and its owner, null if the piece was sent to all
     */
    SentPiece.@Nullable Destination findUntried(SentPiece piece) {
        Set<PoolKey> triedPools = new HashSet<>();
        piece.triedDestinations.forEach(destination -> triedPools.add(destination.pool()));
        List<PoolKey> ordered = new ArrayList<>(order(piece.service, piece.order));
        // A pool whose owner failed is the last choice: in a cut, its other candidates cannot be reached either.
        ordered.sort(Comparator.comparing(triedPools::contains));
        boolean anyOwner = false;
        for (PoolKey pool : ordered) {
            for (Member owner : owners.getCandidates(pool)) {
                anyOwner = true;
                SentPiece.Destination destination = new SentPiece.Destination(pool, owner.name());
                if (!piece.triedDestinations.contains(destination)) {
                    return destination;
                }
            }
        }
        SentPiece.Destination self = new SentPiece.Destination(ordered.get(0), selfName);
        return anyOwner || piece.triedDestinations.contains(self) ? null : self;
    }

    private double expectedMillis(PoolKey pool, PieceOrder piece, PieceService spec) {
        double transferMillis = isNearData(pool, piece) ? 0 : piece.terms().crossZoneWaitNanos() / NANOS_PER_MILLI;
        return backlogs.get(pool).waitMillis(spec, piece.terms().rank()) + transferMillis;
    }

    private static boolean isNearData(PoolKey pool, PieceOrder piece) {
        return piece.terms().zone().isEmpty() || piece.terms().zone().equals(pool.zone());
    }

    private static int draw(String requestId, PoolKey pool) {
        byte[] bytes = (requestId + '|' + pool.zone()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes);
    }
}
