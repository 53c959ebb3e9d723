package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * A fake that records batches until a test answers them.
 *
 * <p>Confined to the test's thread.
 */
public final class FakePieceCalls implements PieceCalls {
    /** All calls, in the order of sending. */
    final List<Sent> sent = new ArrayList<>();
    /** All released handles. */
    final List<String> freedHandles = new ArrayList<>();

    /** The callbacks of all requests for the free space of an endpoint. */
    final List<Consumer<FreeSpace>> freeSpaceRequests = new ArrayList<>();

    /** One call that was sent. */
    public static final class Sent {
        final Endpoint endpoint;
        final List<PieceOrder> orders;
        private final Listener listener;
        private boolean ended;

        private Sent(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
            this.endpoint = endpoint;
            this.orders = orders;
            this.listener = listener;
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
        Sent call = new Sent(endpoint, orders, listener);
        sent.add(call);
        return () -> call.ended = true;
    }

    @Override
    public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {
        freedHandles.addAll(handles);
        onReleased.run();
    }

    @Override
    public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {
        freeSpaceRequests.add(onReport);
    }

    /** Gets all calls, in the order of sending. */
    public List<Sent> getSent() {
        return sent;
    }

    /** Gets all released handles. */
    public List<String> getFreedHandles() {
        return freedHandles;
    }

    /** Gets the latest call. */
    public Sent last() {
        return sent.get(sent.size() - 1);
    }
}
