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
 * Makes a plan take effect.
 *
 * <p>Holds no state.
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
    public void declare(OptionParser parser) {
        super.declare(parser);
        parser.nonOptions("the plan's id").ofType(String.class);
    }

    @Override
    Response ask(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        return RemoteCalls.post(client, target, "/v1/plans/" + argument(options, "PLAN") + "/confirm", headers, "{}");
    }

    @Override
    void print(JsonNode answer, int status, PrintStream out) {
        String outcome = answer.path("status").asText().toLowerCase(Locale.ROOT).replace('_', ' ');
        out.println(outcome + ": " + answer.path("detail").asText());
    }
}
