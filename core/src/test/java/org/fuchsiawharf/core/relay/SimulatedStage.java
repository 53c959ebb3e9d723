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
 * Simulated stage endpoints on virtual time.
 *
 * <p>Each endpoint runs one call at a time, queues two, keeps results until they are released or expire, and reports
 * its free memory in whole megabytes. Confined to the test's thread.
 */
final class SimulatedStage implements PieceCalls {
    private static final long MILLI = 1_000_000L;
    private static final int ENDPOINT_QUEUE = 2;
    private static final long LEAK_NANOS = 4_000 * MILLI;

    private final TimerService timers;
    private final long hopNanos;
    private final Map<String, SimulatedEndpoint> endpoints = new HashMap<>();
    private long calls;
    private long pieces;
    private long crossZoneBytes;
    private final Map<String, Double> durationFactors = new HashMap<>();
    private double leakedShare;
    private long leakedUntilNanos;

    /** Creates a stage without endpoints, with the given one-way network latency to the instances. */
    SimulatedStage(TimerService timers, long hopNanos) {
        this.timers = timers;
        this.hopNanos = hopNanos;
    }

    void add(Endpoint endpoint, PieceService spec) {
        endpoints.put(endpoint.name(), new SimulatedEndpoint(endpoint, spec));
    }

    /** Makes the calls of a service last longer than specified, as transfers of inputs do. */
    void setDurationFactor(String service, double factor) {
        durationFactors.put(service, factor);
    }

    /** Fills a share of every endpoint's memory with results that are never released and expire one by one. */
    void leakResults(double share) {
        leakedShare = share;
        leakedUntilNanos = timers.now() + LEAK_NANOS;
    }

    /** Gets the mean batch size and the megabytes that crossed between availability zones, as text. */
    String summary() {
        return String.format("%.1f pieces a call, %d MB crossed", pieces / (double) calls, crossZoneBytes / 1_000_000);
    }

    // -----------------------------------------------------------------------

    @Override
    public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
        SimulatedEndpoint target = find(endpoint);
        timers.schedule(timers.now() + hopNanos, () -> target.accept(orders, listener));
        return () -> {};
    }

    @Override
    public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {
        timers.schedule(timers.now() + hopNanos, () -> {
            handles.forEach(find(endpoint).heldResults::remove);
            onReleased.run();
        });
    }

    @Override
    public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReported) {
        // The report is rounded down to whole megabytes, so it reads 0 for any space below one megabyte.
        long minFreeBytes = Math.max(0, find(endpoint).freeBytes() / 1_000_000 * 1_000_000);
        timers.schedule(
                timers.now() + 2 * hopNanos,
                () -> onReported.accept(new FreeSpace(minFreeBytes, minFreeBytes + 1_000_000)));
    }

    private SimulatedEndpoint find(Endpoint endpoint) {
        return Objects.requireNonNull(endpoints.get(endpoint.name()));
    }

    /** An endpoint that runs one call at a time. */
    private final class SimulatedEndpoint {
        private final Endpoint endpoint;
        private final PieceService spec;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private final Map<String, Long> heldResults = new HashMap<>();
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
            startNext();
        }

        private void startNext() {
            if (!busy && !queue.isEmpty()) {
                busy = true;
                queue.remove().run();
            }
        }

        private long freeBytes() {
            long capacityBytes = (long) (spec.resultSpaceMb() * 1e6);
            double remainingFraction = Math.max(0, leakedUntilNanos - timers.now()) / (double) LEAK_NANOS;
            long usedBytes =
                    heldResults.values().stream().mapToLong(bytes -> bytes).sum();
            return capacityBytes - (long) (capacityBytes * leakedShare * remainingFraction) - usedBytes;
        }

        private void run(List<PieceOrder> orders, PieceCalls.Listener listener) {
            List<PieceCalls.Answer> answers = orders.stream().map(this::produce).toList();
            int produced = (int) answers.stream()
                    .filter(answer -> answer.kind() == PieceCalls.AnswerKind.PRODUCED)
                    .count();
            double factor = durationFactors.getOrDefault(endpoint.service(), 1.0);
            long durationNanos = (long) (factor * spec.callMillisFor(produced) * MILLI);
            calls++;
            pieces += produced;
            timers.schedule(timers.now() + durationNanos, () -> {
                busy = false;
                timers.schedule(timers.now() + hopNanos, () -> listener.onAnswered(answers));
                startNext();
            });
        }

        private PieceCalls.Answer produce(PieceOrder order) {
            long bytes = order.terms().resultBytes();
            if (bytes > freeBytes()) {
                return new PieceCalls.Answer(PieceCalls.AnswerKind.NO_SPACE, "");
            }
            boolean inWantedZone = order.terms().zone().equals(endpoint.zone());
            crossZoneBytes += inWantedZone ? 0 : order.terms().crossZoneBytes();
            String handle = endpoint.host() + ":80/" + order.id();
            heldResults.put(handle, bytes);
            timers.schedule(timers.now() + (spec.resultTtlMillis() + 500) * MILLI, () -> heldResults.remove(handle));
            return new PieceCalls.Answer(PieceCalls.AnswerKind.PRODUCED, handle);
        }
    }
}
