package org.fuchsiawharf.core.route;

import java.util.List;
import java.util.function.Predicate;

import org.fuchsiawharf.core.util.Arguments;
import org.jspecify.annotations.Nullable;

/**
 * The services, stages and time limits for the requests of one host and path prefix.
 *
 * <p>A route has at least one service, and a stage depends only on stages with lower numbers. Immutable and
 * thread-safe.
 *
 * @param name the route's name
 * @param host the host, in lower case
 * @param prefix the path prefix, which begins and ends with a slash
 * @param kind the kind of the requests, which decides whether they may be repeated
 * @param timeoutMillis the maximum duration of a request, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds
 * @param gapMillis the maximum pause between two events of a stream that counts as on time, in milliseconds
 * @param priority the priority rank; 0 is the most urgent
 * @param services the services that share the requests, not null
 * @param maxAttempts the maximum number of endpoints that one request is sent to
 * @param stages the stages that run before the request is sent, by number, not null
 * @param open whether requests need no workspace key
 * @param affinity whether requests list the parts of a prompt, by which they are routed
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long gapMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        List<PieceStage> stages,
        boolean open,
        boolean affinity) {
    /** Number of route ranks that are distinguished within one workspace priority. */
    private static final int RANKS_OF_WORKSPACE = 3;

    /** Copies the lists and validates the limits and the order of the stages. */
    public Route {
        services = List.copyOf(services);
        stages = List.copyOf(stages);
        Arguments.between(services.size(), 1, Integer.MAX_VALUE, "services of route " + name);
        Arguments.between(timeoutMillis, 1, Integer.MAX_VALUE, "timeoutMillis of route " + name);
        Arguments.between(maxAttempts, 1, Integer.MAX_VALUE, "maxAttempts of route " + name);
        for (int i = 0; i < stages.size(); i++) {
            for (int dependency : stages.get(i).after()) {
                Arguments.between(dependency, 0, i - 1L, "after of stage " + i + " of route " + name);
            }
        }
    }

    /**
     * Gets the names of the services to which requests may go.
     *
     * @return the names, never null
     */
    public List<String> serviceNames() {
        return services.stream().map(WeightedService::service).toList();
    }

    /**
     * Chooses the service for one request at random, in proportion to the weights.
     *
     * @param draw a uniform random number, at least 0 and below 1
     * @return the name of the service, never null
     */
    public String chooseService(double draw) {
        return chooseService(draw, service -> true);
    }

    /**
     * Chooses the service for one request at random among the usable services, in proportion to their weights.
     *
     * @param draw a uniform random number, at least 0 and below 1
     * @param usable tests whether a service can accept a request now, not null
     * @return the name of the service, never null; the first service if none is usable
     */
    public String chooseService(double draw, Predicate<String> usable) {
        double total = 0;
        for (WeightedService candidate : services) {
            total += usable.test(candidate.service()) ? candidate.weight() : 0;
        }
        double remaining = draw * total;
        for (WeightedService candidate : services) {
            if (candidate.weight() > 0 && usable.test(candidate.service())) {
                remaining -= candidate.weight();
                if (remaining < 0) {
                    return candidate.service();
                }
            }
        }
        return services.get(0).service();
    }

    /**
     * Checks whether no other stage depends on the given stage.
     *
     * @param stage the number of the stage
     * @return true if no other stage needs its results
     */
    public boolean isTerminal(int stage) {
        return stages.stream().noneMatch(s -> s.after().contains(stage));
    }

    /**
     * Gets the stages that have pieces and on which no other stage depends.
     *
     * @param pieces the number of pieces of each stage, not null
     * @return the numbers of the terminal stages, ascending, never null
     */
    public List<Integer> terminalStages(List<Integer> pieces) {
        return java.util.stream.IntStream.range(0, stages.size())
                .filter(this::isTerminal)
                .filter(i -> i < pieces.size() && pieces.get(i) > 0)
                .boxed()
                .toList();
    }

    /**
     * Gets the priority rank of a request; the priority of the workspace takes precedence, the route's orders the
     * requests within it.
     *
     * @param workspace the workspace of the caller, null if the request has none
     * @return the rank, 0 for the most urgent
     */
    public int getRank(@Nullable Workspace workspace) {
        Integer workspacePriority = workspace == null ? null : workspace.priority();
        return workspacePriority == null
                ? priority
                : workspacePriority * RANKS_OF_WORKSPACE + Math.min(priority, RANKS_OF_WORKSPACE - 1);
    }
}
