package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * A fake that records calls, which a test then answers.
 *
 * <p>Confined to the test's thread.
 */
public final class FakePieceCalls implements PieceCalls {
    /** All calls, in the order of sending. */
    final List<SentCall> sent = new ArrayList<>();
    /** Number of calls that released results. */
    int releaseCalls;
    /** All released handles. */
    final List<String> releasedHandles = new ArrayList<>();

    /** The callbacks of all requests for the free space of an endpoint. */
    final List<Consumer<FreeSpace>> freeSpaceRequests = new ArrayList<>();

    /** One call that was sent. */
    public static final class SentCall {
        final Endpoint endpoint;
        final List<PieceOrder> orders;
        private final Listener listener;
        private boolean ended;

        private SentCall(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
            this.endpoint = endpoint;
            this.orders = orders;
            this.listener = listener;
        }

        /** Gets the endpoint that was called. */
        public Endpoint getEndpoint() {
            return endpoint;
        }

        /** Gets the pieces. */
        public List<PieceOrder> getOrders() {
            return orders;
        }

        /** Checks whether the call was answered, failed or cancelled. */
        public boolean isEnded() {
            return ended;
        }

        /** Answers that every piece was produced; each handle consists of the address of the producer and the piece. */
        public void answerProduced() {
            ended = true;
            listener.onAnswered(orders.stream()
                    .map(o -> new Answer(AnswerKind.PRODUCED, handle(o.id())))
                    .toList());
        }

        /** Answers with the same outcome for every piece. */
        public void answer(AnswerKind kind) {
            ended = true;
            listener.onAnswered(orders.stream().map(o -> new Answer(kind, "")).toList());
        }

        public void fail(CallFailure failure) {
            ended = true;
            listener.onFailed(failure, "test");
        }

        private String handle(PieceId id) {
            return endpoint.host() + ":" + endpoint.port() + "/" + id.requestId() + "-" + id.stage() + "-" + id.piece();
        }
    }

    @Override
    public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
        SentCall call = new SentCall(endpoint, orders, listener);
        sent.add(call);
        return () -> call.ended = true;
    }

    @Override
    public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {
        releaseCalls++;
        releasedHandles.addAll(handles);
        onReleased.run();
    }

    @Override
    public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {
        freeSpaceRequests.add(onReport);
    }

    /** Gets all calls, in the order of sending. */
    public List<SentCall> getSent() {
        return sent;
    }

    /** Gets all released handles. */
    public List<String> getReleasedHandles() {
        return releasedHandles;
    }

    /** Gets the latest call. */
    public SentCall last() {
        return sent.get(sent.size() - 1);
    }
}
