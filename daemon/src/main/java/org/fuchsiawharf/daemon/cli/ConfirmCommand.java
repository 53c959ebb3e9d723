package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Confirms a plan, which puts its changes into effect.
 *
 * <p>Stateless.
 */
public final class ConfirmCommand extends OperatorCommand {
    @Override
    public String getName() {
        return "confirm";
    }

    @Override
    public String getSummary() {
        return "makes a plan take effect, once however often it is confirmed";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        super.declareOptions(parser);
        parser.nonOptions("the plan's id").ofType(String.class);
    }

    @Override
    Response sendRequest(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        return BlockingCalls.post(
                client, target, "/v1/plans/" + getSingleArgument(options, "PLAN") + "/confirm", headers, "{}");
    }

    @Override
    void printResponse(JsonNode body, int status, PrintStream out) {
        String outcome = body.path("status").asText().toLowerCase(Locale.ROOT).replace('_', ' ');
        out.println(outcome + ": " + body.path("detail").asText());
    }
}
