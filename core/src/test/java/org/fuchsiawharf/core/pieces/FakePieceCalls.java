package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Keeps batches until a test answers them.
 *
 * <p>Confined to the test's thread.
 */
public final class FakePieceCalls implements PieceCalls {
    /** Every call, in the order of sending. */
    final List<Sent> sent = new ArrayList<>();
    /** Every handle that was given up. */
    final List<String> freedHandles = new ArrayList<>();

    /** Whoever asked for the free space of an endpoint. */
    final List<Consumer<FreeSpace>> freeSpaceRequests = new ArrayList<>();

    /** One batch as it was sent. */
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

        /** Tells whether the call was answered or cancelled. */
        public boolean isEnded() {
            return ended;
        }

        /** Answers that every piece is made; a handle names its maker and its piece. */
        public void make() {
            ended = true;
            listener.onAnswered(orders.stream()
                    .map(o -> new Answer(AnswerKind.MADE, handle(o.id())))
                    .toList());
        }

        /** Answers the same about every piece. */
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
    public void free(Endpoint endpoint, List<String> handles, Runnable onFreed) {
        freedHandles.addAll(handles);
        onFreed.run();
    }

    @Override
    public void askFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {
        freeSpaceRequests.add(onReport);
    }

    /** Gets every call, in the order of sending. */
    public List<Sent> getSent() {
        return sent;
    }

    /** Gets every handle that was given up. */
    public List<String> getFreed() {
        return freedHandles;
    }

    /** Gets the latest call. */
    public Sent last() {
        return sent.get(sent.size() - 1);
    }
}
