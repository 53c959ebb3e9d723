package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import joptsimple.OptionSet;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Prints the latest confirmed configuration.
 *
 * <p>Stateless.
 */
public final class ConfigCommand extends OperatorCommand {
    @Override
    public String getName() {
        return "config";
    }

    @Override
    public String getSummary() {
        return "shows the configuration that was confirmed last";
    }

    @Override
    Response sendRequest(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        return BlockingCalls.get(client, target, "/v1/config", headers);
    }

    @Override
    void printResponse(JsonNode body, int status, PrintStream out) {
        out.println("revision " + body.path("revision").asText()
                + body.path("detail").asText());
        JsonNode items = body.path("document").path("items");
        java.util.TreeMap<String, JsonNode> sortedItems = new java.util.TreeMap<>();
        items.fields().forEachRemaining(item -> sortedItems.put(item.getKey(), item.getValue()));
        sortedItems.forEach((name, value) -> out.println("  " + name + ": " + value));
    }
}
