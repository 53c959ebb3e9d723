package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * One service of a route and its share of the route's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service's name
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(String service, double weight) {
    /** Checks the weight. */
    public WeightedService {
        Arguments.between(weight, 0, Double.MAX_VALUE, "weight");
    }
}
