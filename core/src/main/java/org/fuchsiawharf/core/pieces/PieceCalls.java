package org.fuchsiawharf.core.pieces;

import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Sends batches of pieces to endpoints.
 *
 * <p>Called on the decision loop; answers come back on it.
 */
public interface PieceCalls {
    /**
     * Sends one batch.
     *
     * @param endpoint where to, not null
     * @param orders the pieces, at most the service's batch, not null
     * @param listener hears the answer once, not null
     * @return a handle to give the call up, never null
     */
    Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener);

    /**
     * Tells a maker that results are not needed any more.
     *
     * @param endpoint the maker, not null
     * @param handles the results, not null
     * @param onFreed called once the maker has freed them, and never if that is not known, not null
     */
    void free(Endpoint endpoint, List<String> handles, Runnable onFreed);

    /**
     * Asks an endpoint how much space it has left for results, whoever's results take the rest.
     *
     * @param endpoint the endpoint, not null
     * @param onTold takes what is free, and is never called if that is not known, not null
     */
    void askFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport);

    /**
     * What an endpoint says of its free space for results, as exactly as it says it.
     *
     * @param atLeastBytes the least that is free, in bytes
     * @param atMostBytes the most that is free, in bytes
     */
    record FreeSpace(long atLeastBytes, long atMostBytes) {}

    /** A call under way. */
    @FunctionalInterface
    interface Call {
        /** Gives the call up; its listener hears nothing more. */
        void cancel();
    }

    /** Hears the answer to a batch. */
    interface Listener {
        /**
         * Takes in the answer of the endpoint.
         *
         * @param answers one entry for each piece, in the order of the batch, not null
         */
        void onAnswered(List<Answer> answers);

        /**
         * Takes in a failure of the whole call.
         *
         * @param failure why, not null
         * @param detail what was seen, for logs, not null
         */
        void onFailed(CallFailure failure, String detail);
    }

    /**
     * An endpoint's answer about one piece.
     *
     * @param kind what became of the piece
     * @param handle names the result, empty unless made
     */
    record Answer(AnswerKind kind, String handle) {}

    /** What an endpoint may answer about a piece. */
    enum AnswerKind {
        /** The piece is made. */
        MADE,
        /** Its remaining time had run out when its turn came. */
        LATE,
        /** An input is gone. */
        INPUT_GONE,
        /** There is no space for the result. */
        NO_SPACE,
        /** The endpoint failed at it. */
        ERROR
    }
}
