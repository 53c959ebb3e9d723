package org.fuchsiawharf.core.member;

import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.quarantine.CrashEvidence;
import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StoreItem;
import org.fuchsiawharf.core.store.StorePosition;
import org.jspecify.annotations.Nullable;

/**
 * A message from one instance to another.
 *
 * <p>Every message is immutable and thread-safe.
 */
public sealed interface PeerMessage {
    /**
     * Submits pieces to the owner of a pool.
     *
     * @param pool the pool
     * @param orders the pieces to run
     */
    record SubmitPieces(PoolKey pool, List<PieceOrder> orders) implements PeerMessage {
        /** Makes the list immutable. */
        public SubmitPieces {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Reports the results of pieces to the instance that submitted them.
     *
     * @param pool the pool
     * @param results the results of the ended pieces
     */
    record PiecesEnded(PoolKey pool, List<PieceResult> results) implements PeerMessage {
        /** Makes the list immutable. */
        public PiecesEnded {
            results = List.copyOf(results);
        }
    }

    /**
     * Cancels the pieces of a request that have not started.
     *
     * @param pool the pool
     * @param requestId the id of the request
     */
    record CancelPieces(PoolKey pool, String requestId) implements PeerMessage {}

    /**
     * Releases results so that their endpoints can free the memory.
     *
     * @param pool the pool that produced the results
     * @param handles the handles of the results
     */
    record ReleaseResults(PoolKey pool, List<String> handles) implements PeerMessage {
        /** Makes the list immutable. */
        public ReleaseResults {
            handles = List.copyOf(handles);
        }
    }

    /**
     * Reports that the sender is alive, with the backlogs of the pools that the sender runs.
     *
     * @param backlogs the backlogs by pool
     * @param leaving whether the sender is draining and accepts no more pieces
     */
    record Heartbeat(Map<PoolKey, StageBacklog> backlogs, boolean leaving) implements PeerMessage {
        /** Makes the map immutable. */
        public Heartbeat {
            backlogs = Map.copyOf(backlogs);
        }
    }

    /**
     * Forwards the entries of the store to an instance that cannot read the store.
     *
     * @param asOf the position of the store at which the entries were read
     * @param entries the values by key; the arrays must not be modified
     */
    record PassEntries(StorePosition asOf, Map<String, byte[]> entries) implements PeerMessage {
        /** Makes the map immutable. */
        public PassEntries {
            entries = Map.copyOf(entries);
        }
    }

    /**
     * Requests the entries of the store from the receiver if the receiver has a later position.
     *
     * @param known the latest position of the store known to the sender
     * @param follow whether the sender wants to be told of later changes too, for some seconds
     * @param sentNanos the time on the sender's clock, to be returned with reports, null if it was not stated
     */
    record AskState(StorePosition known, boolean follow, @Nullable Long sentNanos) implements PeerMessage {}

    /**
     * Reports the changes in one response of the store to an instance that follows the sender.
     *
     * @param after the position of the store after which the changes were made
     * @param revision the revision, of the same era, up to which the changes are complete
     * @param changes the changes in the order of the store, empty if there were none
     * @param afterOutage whether a removed entry may reappear, because the store was unreachable shortly before
     * @param catchUp whether the sender answers a request with what it knew before, which confirms nothing of the store
     * @param echo the latest request of the receiver, null if it stated no time
     * @param replyWanted whether further changes wait until the receiver asks again
     */
    record StoreChanges(
            StorePosition after,
            long revision,
            List<StoreItem> changes,
            boolean afterOutage,
            boolean catchUp,
            @Nullable RequestEcho echo,
            boolean replyWanted)
            implements PeerMessage {
        /** Makes the list immutable. */
        public StoreChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Shares observations about crashed endpoints.
     *
     * @param evidence the observations
     */
    record ShareEvidence(CrashEvidence evidence) implements PeerMessage {}
}
