package org.fuchsiawharf.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.limits.AdaptiveConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.routing.ServicePool;
import org.jspecify.annotations.Nullable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one routing decision.
 *
 * <p>Confined to one thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {
    private static final int ZONES = 10;

    /** The number of endpoints of the service. */
    @Param({"6", "200", "2100"})
    private int endpoints;

    private final SplittableRandom random = new SplittableRandom(1);
    private final ExpectedCompletionSelector selector =
            new ExpectedCompletionSelector(new SplittableRandom(2), 2e6, 20e6);
    private ServicePool pool = new ServicePool("llm");

    /** Fills the pool with endpoints of random load and latency. */
    @Setup
    public void fill() {
        EndpointTable table = new EndpointTable("zone-0", () -> new AdaptiveConcurrencyLimit(0.25));
        List<EndpointStatus> statuses = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            Endpoint endpoint = new Endpoint("llm-" + i, "llm", "zone-" + i % ZONES, "127.0.0.1", 1_000 + i);
            statuses.add(new EndpointStatus(endpoint, false));
        }
        table.update(statuses);
        pool = table.getPool("llm");
        for (EndpointState state : pool.getEndpoints()) {
            state.onReport(random.nextInt(16), 0, 16, 0);
            state.onCompleted(random.nextLong(400_000_000, 600_000_000));
        }
    }

    /**
     * Selects an endpoint for a random prompt prefix.
     *
     * @return the endpoint, null if none is available
     */
    @Benchmark
    public @Nullable EndpointState select() {
        return selector.select(pool, random.nextLong(), null, 0);
    }
}
