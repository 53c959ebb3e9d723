package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.route.RequestKind;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.stream.StreamOrigin;
import org.fuchsiawharf.core.stream.StreamOrigins;
import org.jspecify.annotations.Nullable;

/**
 * A request with the route and workspace that the configuration assigned to it.
 *
 * <p>Immutable; the exchange is confined to the decision loop.
 *
 * @param request the request
 * @param exchange the exchange that responds to the request
 * @param route the route of the request
 * @param workspace the workspace of the caller, null if the request has none
 * @param configVersion the version of the configuration by which the request is routed
 * @param fingerprint the fingerprint that the request shares with its repeats
 * @param suspects what the request shares with others that may crash endpoints
 * @param origin what began the stream that the request takes up, null if it begins a new response
 */
record RoutedRequest(
        RelayRequest request,
        CallerExchange exchange,
        Route route,
        @Nullable Workspace workspace,
        long configVersion,
        String fingerprint,
        List<Suspect> suspects,
        @Nullable StreamOrigin origin) {
    static RoutedRequest of(
            RelayRequest request,
            CallerExchange exchange,
            Route route,
            @Nullable Workspace workspace,
            long configVersion) {
        String fingerprint = request.fingerprint(workspace == null ? "" : workspace.name());
        List<Suspect> suspects = new ArrayList<>();
        request.sharedParts().forEach(part -> suspects.add(Suspect.ofPart(part)));
        suspects.add(Suspect.ofRequest(fingerprint));
        return new RoutedRequest(request, exchange, route, workspace, configVersion, fingerprint, suspects, null);
    }

    RoutedRequest withOrigin(StreamOrigin newOrigin) {
        return new RoutedRequest(request, exchange, route, workspace, configVersion, fingerprint, suspects, newOrigin);
    }

    /** Chooses the service of the request, for a stream that is taken up that of its origin. */
    String chooseService(RelayContext context) {
        StreamOrigin began = origin;
        if (began != null) {
            return began.service();
        }
        double draw = context.random().nextDouble();
        return route.chooseService(
                draw, service -> context.table().getPool(service).isServing());
    }

    /** Checks whether the request takes up a stream that another request began. */
    boolean isTakeUp() {
        return request.takeUp() != null && route.kind() == RequestKind.RESUMABLE_STREAM;
    }

    /** Records what wrote the first event of the response, so that the caller can take the stream up. */
    void recordOrigin(StreamOrigins origins, StreamOrigin began) {
        if (route.kind() == RequestKind.RESUMABLE_STREAM) {
            origins.onBegun(streamId(), began, route.services().size() > 1);
        }
    }

    /** Gets the id of the request that began the stream of the response. */
    String streamId() {
        RelayRequest.TakeUp takeUp = request.takeUp();
        return takeUp == null || takeUp.firstRequest().isEmpty() ? request.id() : takeUp.firstRequest();
    }

    /** Creates the terms of a call, with the time left in milliseconds and the results of the stages, if it has any. */
    EndpointCalls.Terms createTerms(
            long remainingMillis, int rank, @Nullable List<String> inputs, String version, int maxIdleConnections) {
        return new EndpointCalls.Terms(
                remainingMillis,
                workspace == null ? null : workspace.name(),
                rank,
                inputs,
                route.kind().isStream(),
                route.kind().isRepeatable(),
                version,
                maxIdleConnections);
    }
}
