package org.fuchsiawharf.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Endpoints with slots and a queue that are brittle for some time.
 *
 * <p>From a grace time after the notice on, the queue is shorter, and an endpoint that rejects more than a number of
 * requests in a sliding second fails: its calls are lost, and it restarts as a new incarnation. Load reports are as
 * old as their interval. Confined to the test's thread.
 */
final class BrittleEndpoints {
    static final int SLOTS = 8;
    static final double MEAN_SERVICE_SECONDS = 0.3;
    static final long GRACE_NANOS = 3_000_000_000L;

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long HOP_NANOS = MILLI;
    private static final long REPORT_INTERVAL_NANOS = 200 * MILLI;
    private static final long RESTART_NANOS = 3 * SECOND;
    private static final int USUAL_QUEUE = 8;

    /** The requests that an endpoint can reject in a second. */
    private final double maxRejections;
    /** The queue of a brittle endpoint after the grace time. */
    private final int shortQueue;

    private final boolean reportsLoad;
    private final TimerService timers;
    private final SplittableRandom random = new SplittableRandom(5);
    private final IntFunction<RelayInstance> instances;
    private final List<Server> servers;
    private final Consumer<List<EndpointStatus>> onRestart;
    private long brittleFromNanos = Long.MAX_VALUE / 2;
    private long brittleUntilNanos = Long.MAX_VALUE / 2;
    int falls;
    int rejections;
    int completed;

    private record Queued(Server server, EndpointCalls.Listener listener, Runnable begin) {}

    private final class Server {
        private final String name;
        private final Deque<Queued> waiting = new ArrayDeque<>();
        private final List<EndpointCalls.Listener> open = new ArrayList<>();
        private final Deque<Long> rejectionTimes = new ArrayDeque<>();
        private long incarnation = 1;
        private boolean down;
        private int running;
        private int reportedRunning;
        private int reportedWaiting;
        private long reportNanos;

        private Server(String name) {
            this.name = name;
        }

        private int queueLimit() {
            return isFragile() ? shortQueue : USUAL_QUEUE;
        }

        private void updateReport() {
            if (timers.now() - reportNanos >= REPORT_INTERVAL_NANOS) {
                reportNanos = timers.now();
                reportedRunning = running;
                reportedWaiting = waiting.size();
            }
        }

        private void fall() {
            falls++;
            down = true;
            incarnation++;
            running = 0;
            waiting.clear();
            rejectionTimes.clear();
            List<EndpointCalls.Listener> lost = List.copyOf(open);
            open.clear();
            lost.forEach(
                    listener -> after(HOP_NANOS, () -> listener.onFailed(CallFailure.LOST, "the endpoint failed")));
            after(RESTART_NANOS, () -> {
                down = false;
                onRestart.accept(list());
            });
        }
    }

    BrittleEndpoints(
            TimerService timers,
            int count,
            double maxRejections,
            int shortQueue,
            boolean reportsLoad,
            IntFunction<RelayInstance> instances,
            Consumer<List<EndpointStatus>> onRestart) {
        this.timers = timers;
        this.maxRejections = maxRejections;
        this.shortQueue = shortQueue;
        this.reportsLoad = reportsLoad;
        this.instances = instances;
        this.onRestart = onRestart;
        this.servers =
                IntStream.range(0, count).mapToObj(i -> new Server("p" + i)).toList();
    }

    void setBrittle(long fromNanos, long untilNanos) {
        brittleFromNanos = fromNanos;
        brittleUntilNanos = untilNanos;
    }

    List<EndpointStatus> list() {
        List<EndpointStatus> listing = new ArrayList<>();
        for (Server server : servers) {
            Endpoint endpoint = new Endpoint(server.name, "plain", "a", "10.0.0." + listing.size(), 80);
            listing.add(new EndpointStatus(endpoint, false, server.incarnation));
        }
        return listing;
    }

    private boolean isBrittle() {
        return timers.now() >= brittleFromNanos && timers.now() < brittleUntilNanos;
    }

    private boolean isFragile() {
        return isBrittle() && timers.now() >= brittleFromNanos + GRACE_NANOS;
    }

    private void after(long nanos, Runnable action) {
        timers.schedule(timers.now() + nanos, action);
    }

    /** Gets the calls of one instance. */
    EndpointCalls callsOf(int instance) {
        return (exchange, endpoint, terms, listener) -> {
            long sentNanos = timers.now();
            Server server = servers.get(Integer.parseInt(endpoint.name().substring(1)));
            after(HOP_NANOS, () -> arrive(server, instance, sentNanos, listener));
            return new EndpointCalls.Call() {
                @Override
                public void cancel() {
                    throw new IllegalStateException("non-idempotent requests are not cancelled");
                }

                @Override
                public long getLastReceivedNanos() {
                    return timers.now();
                }
            };
        };
    }

    private void arrive(Server server, int instance, long sentNanos, EndpointCalls.Listener listener) {
        if (server.down) {
            after(HOP_NANOS, () -> listener.onFailed(CallFailure.NOT_SENT, "connection refused"));
            return;
        }
        server.updateReport();
        if (server.running >= SLOTS && server.waiting.size() >= server.queueLimit()) {
            reject(server, instance, sentNanos, listener);
            return;
        }
        server.open.add(listener);
        Runnable begin = () -> begin(server, instance, sentNanos, listener);
        if (server.running < SLOTS) {
            begin.run();
        } else {
            server.waiting.add(new Queued(server, listener, begin));
        }
    }

    private void begin(Server server, int instance, long sentNanos, EndpointCalls.Listener listener) {
        server.running++;
        long incarnation = server.incarnation;
        long serviceNanos = (long) ((0.5 + random.nextDouble()) * MEAN_SERVICE_SECONDS * SECOND);
        after(serviceNanos, () -> {
            if (server.incarnation != incarnation) {
                return;
            }
            server.running--;
            server.open.remove(listener);
            completed++;
            server.updateReport();
            respond(server, instance, sentNanos, () -> listener.onResponse(() -> 200));
            Queued next = server.waiting.poll();
            if (next != null) {
                next.begin().run();
            }
        });
    }

    private void reject(Server server, int instance, long sentNanos, EndpointCalls.Listener listener) {
        rejections++;
        respond(server, instance, sentNanos, () -> listener.onFailed(CallFailure.REFUSED, "status 503"));
        if (isFragile()) {
            Deque<Long> times = server.rejectionTimes;
            times.add(timers.now());
            while (times.getFirst() <= timers.now() - SECOND) {
                times.removeFirst();
            }
            if (times.size() > maxRejections) {
                server.fall();
            }
        }
    }

    private void respond(Server server, int instance, long sentNanos, Runnable outcome) {
        double named = isBrittle() ? maxRejections : Brittleness.NONE;
        int running = server.reportedRunning;
        int waiting = server.reportedWaiting;
        after(HOP_NANOS, () -> {
            RelayInstance relay = instances.apply(instance);
            if (reportsLoad) {
                relay.getEndpointUpdates().onLoadReport(server.name, running, waiting, SLOTS);
            }
            relay.getEndpointUpdates().onBrittle(server.name, named, sentNanos);
            outcome.run();
        });
    }
}
