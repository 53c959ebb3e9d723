package org.fuchsiawharf.core.pieces;

import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Sends batches of pieces to endpoints.
 *
 * <p>Methods and listeners are called on the decision loop.
 */
public interface PieceCalls {
    /**
     * Sends one batch.
     *
     * @param endpoint the endpoint that receives the batch, not null
     * @param orders the pieces, at most the service's batch size, not null
     * @param listener notified once of the answer or failure, not null
     * @return the call, which can be cancelled, never null
     */
    Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener);

    /**
     * Releases results at their producer.
     *
     * @param endpoint the producer, not null
     * @param handles the handles of the results, not null
     * @param onReleased called once the producer has confirmed the release, and never without confirmation, not null
     */
    void release(Endpoint endpoint, List<String> handles, Runnable onReleased);

    /**
     * Requests the free space for results at an endpoint, whichever instances own the results that take the rest.
     *
     * @param endpoint the endpoint, not null
     * @param onReport receives the free space, and is never called without a valid report, not null
     */
    void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport);

    /**
     * The free space for results that an endpoint reports, to the precision of its report.
     *
     * @param atLeastBytes the lower bound of the free space, in bytes
     * @param atMostBytes the upper bound of the free space, in bytes
     */
    record FreeSpace(long atLeastBytes, long atMostBytes) {}

    /** A call in flight. */
    @FunctionalInterface
    interface Call {
        /** Cancels the call; its listener is not notified any more. */
        void cancel();
    }

    /** Receives the answer to a batch. */
    interface Listener {
        /**
         * Called when the endpoint has answered.
         *
         * @param answers one entry for each piece, in the order of the batch, not null
         */
        void onAnswered(List<Answer> answers);

        /**
         * Called when the whole call has failed.
         *
         * @param failure the kind of failure, not null
         * @param detail a description for logs, not null
         */
        void onFailed(CallFailure failure, String detail);
    }

    /**
     * An endpoint's answer about one piece.
     *
     * @param kind the outcome of the piece
     * @param handle the handle of the result, empty unless produced
     */
    record Answer(AnswerKind kind, String handle) {}

    /** The outcome of a piece at an endpoint. */
    enum AnswerKind {
        /** The piece was produced. */
        PRODUCED,
        /** The deadline of the piece had passed before the endpoint processed it. */
        LATE,
        /** An input does not exist any more. */
        INPUT_GONE,
        /** The endpoint had no space for the result. */
        NO_SPACE,
        /** The endpoint failed to process the piece. */
        ERROR
    }
}
