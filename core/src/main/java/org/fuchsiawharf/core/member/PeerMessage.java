package org.fuchsiawharf.core.member;

import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.StageBacklog;

/**
 * What one instance tells another.
 *
 * <p>Every message is immutable and thread-safe.
 */
public sealed interface PeerMessage {
    /**
     * Orders pieces from the owner of a stage service.
     *
     * @param service the service
     * @param orders the pieces
     */
    record SubmitPieces(String service, List<PieceOrder> orders) implements PeerMessage {
        /** Copies the list. */
        public SubmitPieces {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Tells what became of pieces.
     *
     * @param service the service
     * @param results the results
     */
    record PiecesEnded(String service, List<PieceResult> results) implements PeerMessage {
        /** Copies the list. */
        public PiecesEnded {
            results = List.copyOf(results);
        }
    }

    /**
     * Withdraws the pieces of a request that have not begun.
     *
     * @param service the service
     * @param requestId the request's id
     */
    record CancelPieces(String service, String requestId) implements PeerMessage {}

    /**
     * Gives results up.
     *
     * @param service the service that made them
     * @param handles the results
     */
    record ReleaseResults(String service, List<String> handles) implements PeerMessage {
        /** Copies the list. */
        public ReleaseResults {
            handles = List.copyOf(handles);
        }
    }

    /**
     * Tells that the sender lives, and how much waits in the pools that it owns.
     *
     * @param backlogs the backlog of each service
     * @param leaving whether the sender takes no more pieces
     */
    record Heartbeat(Map<String, StageBacklog> backlogs, boolean leaving) implements PeerMessage {
        /** Copies the map. */
        public Heartbeat {
            backlogs = Map.copyOf(backlogs);
        }
    }

    /**
     * Passes on what the store holds, to an instance that cannot read it.
     *
     * @param revision the store's revision as of which it holds
     * @param entries the values by key; their arrays are not to be changed
     */
    record PassEntries(long revision, Map<String, byte[]> entries) implements PeerMessage {
        /** Copies the map. */
        public PassEntries {
            entries = Map.copyOf(entries);
        }
    }

    /**
     * Asks for what the receiver knows of the store, if it is newer.
     *
     * @param revision the store's revision that the sender knows, -1 if it knows none
     */
    record AskState(long revision) implements PeerMessage {}
}
