package org.fuchsiawharf.core.route;

import java.util.List;
import java.util.function.Predicate;

import org.fuchsiawharf.core.util.Arguments;

/**
 * Where the requests of one host and path prefix go, and under which bounds.
 *
 * <p>A route has at least one service, and each stage comes after stages of lower number only. Immutable and
 * thread-safe.
 *
 * @param name the route's name
 * @param host the host, in lower case
 * @param prefix the path prefix, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a request is kept, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds
 * @param gapMillis the longest pause between two events of a stream that is still on time, in milliseconds
 * @param priority the rank, 0 first
 * @param services the services that share the requests
 * @param maxAttempts the greatest number of endpoints that one request is sent to
 * @param stages the stages before the request, by their numbers
 * @param open whether requests need no workspace key
 * @param affinity whether requests name the parts of a prompt
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

    /** Copies the lists and checks the order of the stages. */
    public Route {
        services = List.copyOf(services);
        stages = List.copyOf(stages);
        Arguments.between(services.size(), 1, Integer.MAX_VALUE, "services of route " + name);
        Arguments.between(timeoutMillis, 1, Integer.MAX_VALUE, "timeoutMillis of route " + name);
        Arguments.between(maxAttempts, 1, Integer.MAX_VALUE, "maxAttempts of route " + name);
        for (int i = 0; i < stages.size(); i++) {
            for (int before : stages.get(i).after()) {
                Arguments.between(before, 0, i - 1L, "after of stage " + i + " of route " + name);
            }
        }
    }

    /**
     * Chooses the service for one request by the weights.
     *
     * @param draw a uniform draw from 0 to below 1
     * @return the service's name, never null
     */
    public String chooseService(double draw) {
        return chooseService(draw, service -> true);
    }

    /**
     * Chooses the service for one request by the weights of those that are usable.
     *
     * @param draw a uniform draw from 0 to below 1
     * @param usable tells which services can take a request now
     * @return the service's name, never null; the first one if none is usable
     */
    public String chooseService(double draw, Predicate<String> usable) {
        double total = 0;
        for (WeightedService each : services) {
            total += usable.test(each.service()) ? each.weight() : 0;
        }
        double left = draw * total;
        for (WeightedService each : services) {
            if (each.weight() > 0 && usable.test(each.service())) {
                left -= each.weight();
                if (left < 0) {
                    return each.service();
                }
            }
        }
        return services.get(0).service();
    }

    /**
     * Tells whether no other stage follows a stage.
     *
     * @param stage the stage's number
     * @return true if none does
     */
    public boolean isLast(int stage) {
        return stages.stream().noneMatch(s -> s.after().contains(stage));
    }

    /**
     * Gets the stages that no other stage follows, among those with pieces.
     *
     * @param pieces the number of pieces of each stage
     * @return the numbers of the last stages, ascending, never null
     */
    public List<Integer> lastStages(List<Integer> pieces) {
        return java.util.stream.IntStream.range(0, stages.size())
                .filter(this::isLast)
                .filter(i -> i < pieces.size() && pieces.get(i) > 0)
                .boxed()
                .toList();
    }
}
