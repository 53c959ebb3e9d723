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
 * A command that sends an operator request to an entry instance.
 *
 * <p>Stateless.
 */
abstract class OperatorCommand implements Command {
    private static final String TOKEN = "token";
    private static final String ADDRESS = "address";

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(ADDRESS, "any entry instance, host:port").withRequiredArg();
        parser.accepts(TOKEN, "the operator's bearer token").withRequiredArg();
        parser.accepts(CommonOptions.JSON, "prints the answer as JSON");
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        HttpTarget target = HttpTarget.parse(CommonOptions.getRequired(options, ADDRESS));
        Map<HttpString, String> headers =
                Map.of(Headers.AUTHORIZATION, "Bearer " + CommonOptions.getRequired(options, TOKEN));
        try (HttpClient client = new HttpClient("operator", 1)) {
            Response response = sendRequest(options, client, target, headers);
            String text = new String(response.body(), StandardCharsets.UTF_8);
            if (response.status() == StatusCodes.UNAUTHORIZED) {
                out.println("the token is not an operator's");
                return EXIT_FAILURE;
            }
            if (options.has(CommonOptions.JSON)) {
                out.println(text);
            } else {
                printResponse(JsonText.readTree(response.body()), response.status(), out);
            }
            return response.status() == StatusCodes.OK ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }

    /**
     * Sends the command's request.
     *
     * @param options the parsed options, not null
     * @param client the client to send the request with, not null
     * @param target the address of the entry instance, not null
     * @param headers the header fields, not null
     * @return the response, never null
     */
    abstract Response sendRequest(
            OptionSet options, HttpClient client, HttpTarget target, Map<HttpString, String> headers);

    /**
     * Prints a response in human-readable form.
     *
     * @param body the response body, not null
     * @param status the HTTP status code
     * @param out the stream to print to, not null
     */
    abstract void printResponse(JsonNode body, int status, PrintStream out);

    /**
     * Gets the command's only argument.
     *
     * @param options the parsed options, not null
     * @param name the name of the argument in error messages, not null
     * @return the argument, never null
     * @throws org.fuchsiawharf.core.error.ArgumentException if the number of arguments is not one
     */
    static String getSingleArgument(OptionSet options, String name) {
        if (options.nonOptionArguments().size() != 1) {
            throw new org.fuchsiawharf.core.error.ArgumentException(name, "absent", "one argument");
        }
        return options.nonOptionArguments().get(0).toString();
    }
}
