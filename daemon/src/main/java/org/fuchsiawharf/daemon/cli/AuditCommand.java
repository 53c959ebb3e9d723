package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Prints the audit trail of configuration changes, newest first, and whether the trail is intact.
 *
 * <p>Stateless.
 */
public final class AuditCommand extends OperatorCommand {
    private static final String MAX = "max";

    @Override
    public String getName() {
        return "audit";
    }

    @Override
    public String getSummary() {
        return "shows who changed what, newest first, and whether the trail is intact";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        super.declareOptions(parser);
        parser.accepts(MAX, "entries to show")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(50);
    }

    @Override
    Response sendRequest(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        return BlockingCalls.get(client, target, "/v1/audit?max=" + options.valueOf(MAX), headers);
    }

    @Override
    void printResponse(JsonNode body, int status, PrintStream out) {
        for (JsonNode entry : body.path("entries")) {
            out.println("revision " + entry.path("revision").asText() + " at "
                    + Instant.ofEpochMilli(entry.path("at").asLong()) + " by "
                    + entry.path("who").asText() + ", confirmed by "
                    + entry.path("confirmedBy").asText() + " from "
                    + entry.path("source").asText() + ", plan "
                    + entry.path("planId").asText() + ": " + entry.path("items"));
        }
        out.println(body.path("intact").asBoolean() ? "the trail is intact" : "THE TRAIL WAS CHANGED");
    }
}
