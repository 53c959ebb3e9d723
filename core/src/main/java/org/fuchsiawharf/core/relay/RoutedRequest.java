package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.Workspace;
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
 */
record RoutedRequest(
        RelayRequest request,
        CallerExchange exchange,
        Route route,
        @Nullable Workspace workspace,
        long configVersion,
        String fingerprint,
        List<Suspect> suspects) {
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
        return new RoutedRequest(request, exchange, route, workspace, configVersion, fingerprint, suspects);
    }
}
