package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A service of a route and its share of the route's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param weight the share of the service, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {
    /** Validates the weight. */
    public WeightedService {
        Arguments.between(weight, 0, Double.MAX_VALUE, "weight");
    }
}
