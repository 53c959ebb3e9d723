package org.fuchsiawharf.http.server;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.util.Arguments;
import org.jspecify.annotations.Nullable;

/**
 * Tells operators by their bearer tokens.
 *
 * <p>Every token is compared in constant time, so that the time to refuse tells nothing. Immutable and thread-safe.
 */
public final class Operators {
    private static final int MIN_TOKEN_CHARS = 8;
    private static final int MAX_TOKEN_CHARS = 1_000;

    private final List<Operator> all;

    /**
     * One operator.
     *
     * @param name the name that the audit trail shows
     * @param token the bearer token, 8 to 1,000 characters
     */
    public record Operator(String name, String token) {
        /**
         * Checks name and token.
         *
         * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
         */
        public Operator {
            Arguments.name(name, "operators.name");
            Arguments.between(token.length(), MIN_TOKEN_CHARS, MAX_TOKEN_CHARS, "operators.token length of " + name);
        }
    }

    /**
     * Creates the set of operators.
     *
     * @param all the operators, not null
     */
    public Operators(List<Operator> all) {
        this.all = List.copyOf(all);
    }

    /**
     * Finds the operator that sent a request; refuses the request if there is none.
     *
     * @param exchange the exchange, not null
     * @return the operator's name, null if the request was refused
     */
    @Nullable
    String identify(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        byte[] shown = given == null ? new byte[0] : given.getBytes(StandardCharsets.UTF_8);
        String found = null;
        for (Operator operator : all) {
            byte[] expected = ("Bearer " + operator.token()).getBytes(StandardCharsets.UTF_8);
            found = MessageDigest.isEqual(expected, shown) ? operator.name() : found;
        }
        if (found == null) {
            exchange.setStatusCode(StatusCodes.UNAUTHORIZED);
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
            exchange.endExchange();
        }
        return found;
    }
}
