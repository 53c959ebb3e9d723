package org.fuchsiawharf.core.relay;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.pieces.PieceCalls;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The processor and the link of one simulated instance, on virtual time.
 *
 * <p>The processor handles one message at a time; the link carries one message at a time in each direction. Each
 * message is handled once, in the order of arrival. The timers of the instance, the events of engines and the decoding
 * of callers' bodies cost nothing. Confined to the test's thread.
 */
final class SimulatedHost {
    /** Processor time for each piece in a message, on a whole core. */
    private static final long PIECE_NANOS = 58_000L;
    /** Processor time for each message, on a whole core. */
    private static final long MESSAGE_NANOS = 150_000L;
    /** Size of a piece that is to be run, with the names of its inputs. */
    private static final long ORDER_BYTES = 270;
    /** Size of the result of a piece, or of the name of a result. */
    private static final long RESULT_BYTES = 60;

    private static final long MESSAGE_BYTES = 100;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TimerService timers;
    private final double cores;
    private final double bytesPerSecond;
    private final Map<Long, Long> busyNanosBySecond = new TreeMap<>();
    private long processorFreeNanos;
    private long inboundFreeNanos;
    private long outboundFreeNanos;

    private SimulatedHost(TimerService timers, double cores, double bytesPerSecond) {
        this.timers = timers;
        this.cores = cores;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Creates a host that handles and sends every message at once. */
    static SimulatedHost unbounded(TimerService timers) {
        return new SimulatedHost(timers, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    static SimulatedHost of(TimerService timers, double cores, double linkMbps) {
        return new SimulatedHost(timers, cores, linkMbps * 1e6 / 8);
    }

    /** Gets the share of a second of virtual time in which the processor was busy. */
    double getBusyShare(long second) {
        return busyNanosBySecond.getOrDefault(second, 0L) / (double) NANOS_PER_SECOND;
    }

    // -----------------------------------------------------------------------

    /** Handles a message of the instance itself, after all that arrived before. */
    void handle(int pieces, Runnable handler) {
        long costNanos = (long) ((MESSAGE_NANOS + pieces * PIECE_NANOS) / cores);
        long startNanos = Math.max(timers.now(), processorFreeNanos);
        processorFreeNanos = startNanos + costNanos;
        for (long from = startNanos; from < processorFreeNanos; ) {
            long second = from / NANOS_PER_SECOND;
            long to = Math.min(processorFreeNanos, (second + 1) * NANOS_PER_SECOND);
            busyNanosBySecond.merge(second, to - from, Long::sum);
            from = to;
        }
        runAt(processorFreeNanos, handler);
    }

    /** Receives a message from the network, then handles it. */
    void receive(int pieces, long bytes, Runnable handler) {
        inboundFreeNanos = Math.max(timers.now(), inboundFreeNanos) + transferNanos(bytes);
        runAt(inboundFreeNanos, () -> handle(pieces, handler));
    }

    /** Sends a message to the network; the action runs when its last byte has left. */
    void send(long bytes, Runnable onSent) {
        outboundFreeNanos = Math.max(timers.now(), outboundFreeNanos) + transferNanos(bytes);
        runAt(outboundFreeNanos, onSent);
    }

    private long transferNanos(long bytes) {
        return (long) (bytes * NANOS_PER_SECOND / bytesPerSecond);
    }

    private void runAt(long dueNanos, Runnable action) {
        if (dueNanos <= timers.now()) {
            action.run();
        } else {
            timers.schedule(dueNanos, action);
        }
    }

    // -----------------------------------------------------------------------

    static int countPieces(PeerMessage message) {
        if (message instanceof PeerMessage.SubmitPieces submit) {
            return submit.orders().size();
        } else if (message instanceof PeerMessage.PiecesEnded ended) {
            return ended.results().size();
        } else if (message instanceof PeerMessage.ReleaseResults release) {
            return release.handles().size();
        }
        return 0;
    }

    static long countBytes(PeerMessage message) {
        return message instanceof PeerMessage.SubmitPieces submit
                ? orderBytes(submit.orders().size())
                : resultBytes(countPieces(message));
    }

    private static long orderBytes(int pieces) {
        return MESSAGE_BYTES + pieces * ORDER_BYTES;
    }

    private static long resultBytes(int pieces) {
        return MESSAGE_BYTES + pieces * RESULT_BYTES;
    }

    /** Gets the calls to endpoints as this host makes them. */
    PieceCalls connect(PieceCalls endpoints) {
        return new PieceCalls() {
            @Override
            public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
                HostedCall call = new HostedCall(orders.size(), listener);
                SimulatedHost.this.send(orderBytes(orders.size()), () -> endpoints.send(endpoint, orders, call));
                return call;
            }

            @Override
            public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {
                SimulatedHost.this.send(
                        resultBytes(handles.size()),
                        () -> endpoints.release(endpoint, handles, () -> receive(0, MESSAGE_BYTES, onReleased)));
            }

            @Override
            public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {
                SimulatedHost.this.send(
                        MESSAGE_BYTES,
                        () -> endpoints.requestFreeSpace(
                                endpoint, space -> receive(0, MESSAGE_BYTES, () -> onReport.accept(space))));
            }
        };
    }

    /** A call to an endpoint, whose answer the host receives unless the call has been cancelled. */
    private final class HostedCall implements PieceCalls.Call, PieceCalls.Listener {
        private final int pieces;
        private final PieceCalls.Listener listener;
        private boolean cancelled;

        private HostedCall(int pieces, PieceCalls.Listener listener) {
            this.pieces = pieces;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void onAnswered(List<PieceCalls.Answer> answers) {
            receive(pieces, resultBytes(pieces), () -> notifyListener(() -> listener.onAnswered(answers)));
        }

        @Override
        public void onFailed(CallFailure failure, String detail) {
            receive(0, MESSAGE_BYTES, () -> notifyListener(() -> listener.onFailed(failure, detail)));
        }

        private void notifyListener(Runnable notification) {
            if (!cancelled) {
                notification.run();
            }
        }
    }
}
