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
 * Shows the configuration that was confirmed last.
 *
 * <p>Holds no state.
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
    Response ask(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers) {
        return RemoteCalls.get(client, target, "/v1/config", headers);
    }

    @Override
    void print(JsonNode answer, int status, PrintStream out) {
        out.println("revision " + answer.path("revision").asText()
                + answer.path("detail").asText());
        JsonNode items = answer.path("document").path("items");
        java.util.TreeMap<String, JsonNode> sorted = new java.util.TreeMap<>();
        items.fields().forEachRemaining(item -> sorted.put(item.getKey(), item.getValue()));
        sorted.forEach((name, value) -> out.println("  " + name + ": " + value));
    }
}
