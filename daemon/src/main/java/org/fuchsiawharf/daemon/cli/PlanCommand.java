package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.daemon.settings.IntentFile;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Submits an intent and prints the plan of the resulting changes.
 *
 * <p>Stateless.
 */
public final class PlanCommand extends OperatorCommand {
    @Override
    public String getName() {
        return "plan";
    }

    @Override
    public String getSummary() {
        return "states an intent (a whole configuration or a patch) and shows the plan; nothing takes effect";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        super.declareOptions(parser);
        parser.nonOptions("YAML file: a configuration, or set: and remove:").ofType(String.class);
    }

    @Override
    Response sendRequest(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        String intent = JsonText.write(IntentFile.read(Path.of(getSingleArgument(options, "FILE"))));
        return BlockingCalls.post(client, target, "/v1/plans", headers, intent);
    }

    @Override
    void printResponse(JsonNode body, int status, PrintStream out) {
        if (status != StatusCodes.OK) {
            out.println(body.path("detail").asText());
            return;
        }
        out.println("plan " + body.path("id").asText() + " upon revision "
                + body.path("baseRevision").asText());
        body.path("differences")
                .forEach(difference ->
                        out.println("  " + difference.path("words").asText()));
        body.path("effects").forEach(effect -> out.println("  effect: " + effect.asText()));
        body.path("warnings").forEach(warning -> out.println("  warning: " + warning.asText()));
        out.println("nothing has taken effect; confirm with: confirm "
                + body.path("id").asText());
    }
}
