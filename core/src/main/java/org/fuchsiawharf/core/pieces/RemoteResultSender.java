package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;

/**
 * Sends the results of the pieces that another instance submitted, those of one call in one message.
 *
 * <p>Confined to the decision loop.
 */
final class RemoteResultSender implements PieceListener {
    private final String submitter;
    private final PoolKey pool;
    private final PeerPort peers;
    private final PeerHeartbeats heartbeats;

    RemoteResultSender(String submitter, PoolKey pool, PeerPort peers, PeerHeartbeats heartbeats) {
        this.submitter = submitter;
        this.pool = pool;
        this.peers = peers;
        this.heartbeats = heartbeats;
    }

    @Override
    public void onResult(PieceResult result) {
        onResults(List.of(result));
    }

    @Override
    public void onResults(List<PieceResult> results) {
        results.forEach(result -> heartbeats.onEnded(submitter, result.id()));
        peers.send(submitter, new PeerMessage.PiecesEnded(pool, results));
    }

    @Override
    public boolean isOfOtherInstance() {
        return true;
    }
}
