package org.fuchsiawharf.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.pieces.PieceCalls;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The stage endpoints of a played load, on virtual time.
 *
 * <p>Each runs one call at a time, lets two wait, keeps results until they are freed or lapse, and reports its free
 * space in whole megabytes. Confined to the test's thread.
 */
final class SimulatedStage implements PieceCalls {
    private static final long MILLI = 1_000_000L;
    private static final int ENDPOINT_QUEUE = 2;
    private static final long STRANDED_NANOS = 4_000 * MILLI;

    private final TimerService timers;
    private final long hopNanos;
    private final Map<String, SimulatedEndpoint> endpoints = new HashMap<>();
    private long calls;
    private long pieces;
    private long crossedBytes;
    private double strandedShare;
    private long strandedUntilNanos;

    /** Creates a stage without endpoints that is so far away from its instances. */
    SimulatedStage(TimerService timers, long hopNanos) {
        this.timers = timers;
        this.hopNanos = hopNanos;
    }

    void add(Endpoint endpoint, PieceService spec) {
        endpoints.put(endpoint.name(), new SimulatedEndpoint(endpoint, spec));
    }

    /** Fills a share of every endpoint's space with results that nobody frees and that lapse one after the other. */
    void strand(double share) {
        strandedShare = share;
        strandedUntilNanos = timers.now() + STRANDED_NANOS;
    }

    /** Gets how full calls were and how many megabytes were made away from where they were wanted. */
    String effort() {
        return String.format("%.1f pieces a call, %d MB crossed", pieces / (double) calls, crossedBytes / 1_000_000);
    }

    // -----------------------------------------------------------------------

    @Override
    public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
        SimulatedEndpoint target = find(endpoint);
        timers.schedule(timers.now() + hopNanos, () -> target.accept(orders, listener));
        return () -> {};
    }

    @Override
    public void free(Endpoint endpoint, List<String> handles, Runnable onFreed) {
        timers.schedule(timers.now() + hopNanos, () -> {
            handles.forEach(find(endpoint).held::remove);
            onFreed.run();
        });
    }

    @Override
    public void askFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onTold) {
        // Whole megabytes, which tell nothing of a small space.
        long least = Math.max(0, find(endpoint).freeBytes() / 1_000_000 * 1_000_000);
        timers.schedule(timers.now() + 2 * hopNanos, () -> onTold.accept(new FreeSpace(least, least + 1_000_000)));
    }

    private SimulatedEndpoint find(Endpoint endpoint) {
        return Objects.requireNonNull(endpoints.get(endpoint.name()));
    }

    /** An endpoint that works on one call at a time. */
    private final class SimulatedEndpoint {
        private final Endpoint endpoint;
        private final PieceService spec;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private final Map<String, Long> held = new HashMap<>();
        private boolean busy;

        private SimulatedEndpoint(Endpoint endpoint, PieceService spec) {
            this.endpoint = endpoint;
            this.spec = spec;
        }

        private void accept(List<PieceOrder> orders, PieceCalls.Listener listener) {
            if (busy && queue.size() >= ENDPOINT_QUEUE) {
                timers.schedule(timers.now() + hopNanos, () -> listener.onFailed(CallFailure.REFUSED, "full"));
                return;
            }
            queue.add(() -> run(orders, listener));
            next();
        }

        private void next() {
            if (!busy && !queue.isEmpty()) {
                busy = true;
                queue.remove().run();
            }
        }

        private long freeBytes() {
            long space = (long) (spec.resultSpaceMb() * 1e6);
            double left = Math.max(0, strandedUntilNanos - timers.now()) / (double) STRANDED_NANOS;
            long used = held.values().stream().mapToLong(bytes -> bytes).sum();
            return space - (long) (space * strandedShare * left) - used;
        }

        private void run(List<PieceOrder> orders, PieceCalls.Listener listener) {
            List<PieceCalls.Answer> answers = orders.stream().map(this::make).toList();
            int made = (int) answers.stream()
                    .filter(answer -> answer.kind() == PieceCalls.AnswerKind.MADE)
                    .count();
            long took = (long) (spec.callMillisFor(made) * MILLI);
            calls++;
            pieces += made;
            timers.schedule(timers.now() + took, () -> {
                busy = false;
                timers.schedule(timers.now() + hopNanos, () -> listener.onAnswered(answers));
                next();
            });
        }

        private PieceCalls.Answer make(PieceOrder order) {
            long bytes = order.terms().resultBytes();
            if (bytes > freeBytes()) {
                return new PieceCalls.Answer(PieceCalls.AnswerKind.NO_SPACE, "");
            }
            boolean wanted = order.terms().zone().equals(endpoint.zone());
            crossedBytes += wanted ? 0 : order.terms().crossingBytes();
            String handle = endpoint.host() + ":80/" + order.id();
            held.put(handle, bytes);
            timers.schedule(timers.now() + (spec.resultTtlMillis() + 500) * MILLI, () -> held.remove(handle));
            return new PieceCalls.Answer(PieceCalls.AnswerKind.MADE, handle);
        }
    }
}
