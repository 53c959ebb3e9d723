package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * A command that asks one entry instance something as an operator.
 *
 * <p>Holds no state.
 */
abstract class OperatorCommand implements Command {
    private static final String TOKEN = "token";
    private static final String ADDRESS = "address";

    @Override
    public void declare(OptionParser parser) {
        parser.accepts(ADDRESS, "any entry instance, host:port").withRequiredArg();
        parser.accepts(TOKEN, "the operator's bearer token").withRequiredArg();
        parser.accepts(OptionNames.JSON, "prints the answer as JSON");
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        HttpTarget target = HttpTarget.parse(OptionNames.required(options, ADDRESS));
        Map<HttpString, String> headers =
                Map.of(Headers.AUTHORIZATION, "Bearer " + OptionNames.required(options, TOKEN));
        try (HttpClient client = new HttpClient("operator", 1)) {
            Response response = ask(options, client, target, headers);
            String body = new String(response.body(), StandardCharsets.UTF_8);
            if (response.status() == StatusCodes.UNAUTHORIZED) {
                out.println("the token is not an operator's");
                return FAILED;
            }
            if (options.has(OptionNames.JSON)) {
                out.println(body);
            } else {
                print(JsonText.readTree(response.body()), response.status(), out);
            }
            return response.status() == StatusCodes.OK ? OK : FAILED;
        }
    }

    /**
     * Sends the command's request.
     *
     * @param options the parsed options, not null
     * @param client sends it, not null
     * @param target where to, not null
     * @param headers the header fields, not null
     * @return the response, never null
     */
    abstract Response ask(OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers);

    /**
     * Prints the answer for people.
     *
     * @param answer the answer, not null
     * @param status its status code
     * @param out where to, not null
     */
    abstract void print(JsonNode answer, int status, PrintStream out);

    /**
     * Gets the command's only argument.
     *
     * @param options the parsed options, not null
     * @param name what it stands for, not null
     * @return the argument, never null
     * @throws org.fuchsiawharf.core.error.ArgumentException if it is absent
     */
    static String argument(OptionSet options, String name) {
        if (options.nonOptionArguments().size() != 1) {
            throw new org.fuchsiawharf.core.error.ArgumentException(name, "absent", "one argument");
        }
        return options.nonOptionArguments().get(0).toString();
    }
}
