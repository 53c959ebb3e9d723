package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.port.StatusSnapshot;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Prints the status of entry instances: revision, requests and endpoints.
 *
 * <p>Stateless.
 */
public final class StatusCommand implements Command {
    private static final String TOKEN = "token";

    @Override
    public String getName() {
        return "status";
    }

    @Override
    public String getSummary() {
        return "shows revision, requests and endpoints of entry instances";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(TOKEN, "the operators' bearer token").withRequiredArg();
        parser.accepts(CommonOptions.JSON, "prints JSON lines");
        parser.nonOptions("addresses, host:port").ofType(String.class);
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        String token = CommonOptions.getRequired(options, TOKEN);
        List<?> addresses = options.nonOptionArguments();
        int code = addresses.isEmpty() ? EXIT_USAGE_ERROR : EXIT_SUCCESS;
        try (HttpClient client = new HttpClient("status", 1)) {
            for (Object address : addresses) {
                Response response = BlockingCalls.get(
                        client,
                        HttpTarget.parse(address.toString()),
                        "/v1/status",
                        Map.of(Headers.AUTHORIZATION, "Bearer " + token));
                String body = new String(response.body(), StandardCharsets.UTF_8);
                if (response.status() != StatusCodes.OK) {
                    out.println(address + ": status " + response.status());
                    code = EXIT_FAILURE;
                } else if (options.has(CommonOptions.JSON)) {
                    out.println(body);
                } else {
                    print(JsonText.read(body, StatusSnapshot.class), out);
                }
            }
        }
        return code;
    }

    private static void print(StatusSnapshot status, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "instance %s: revision %d, active %d, queued %d%s%n",
                status.instance(),
                status.revision(),
                status.active(),
                status.queued(),
                status.draining() ? ", draining" : "");
        for (StatusSnapshot.EndpointView endpoint : status.endpoints()) {
            out.printf(
                    Locale.ROOT,
                    "  %-20s %-14s %-8s in flight %3d, reported %3d, typical call %8.1f ms%n",
                    endpoint.name(),
                    endpoint.zone(),
                    endpoint.state(),
                    endpoint.inFlight(),
                    endpoint.reported(),
                    endpoint.serviceMillis());
        }
    }
}
