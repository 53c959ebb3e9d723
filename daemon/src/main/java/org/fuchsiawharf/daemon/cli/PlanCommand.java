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
 * States an intent and shows the plan of what would change.
 *
 * <p>Holds no state.
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
    public void declare(OptionParser parser) {
        super.declare(parser);
        parser.nonOptions("YAML file: a configuration, or set: and remove:").ofType(String.class);
    }

    @Override
    Response ask(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        String intent = JsonText.write(IntentFile.read(Path.of(argument(options, "FILE"))));
        return RemoteCalls.post(client, target, "/v1/plans", headers, intent);
    }

    @Override
    void print(JsonNode answer, int status, PrintStream out) {
        if (status != StatusCodes.OK) {
            out.println(answer.path("detail").asText());
            return;
        }
        out.println("plan " + answer.path("id").asText() + " upon revision "
                + answer.path("baseRevision").asText());
        answer.path("differences")
                .forEach(d -> out.println("  " + d.path("words").asText()));
        answer.path("effects").forEach(effect -> out.println("  effect: " + effect.asText()));
        answer.path("warnings").forEach(warning -> out.println("  warning: " + warning.asText()));
        out.println("nothing has taken effect; confirm with: confirm "
                + answer.path("id").asText());
    }
}
