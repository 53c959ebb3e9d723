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
 * Authenticates operators by their bearer tokens.
 *
 * <p>The credentials of a request are compared with every token in constant time, so that the response time reveals
 * nothing about the tokens. Immutable and thread-safe.
 */
public final class OperatorAuthenticator {
    private static final int MIN_TOKEN_CHARS = 8;
    private static final int MAX_TOKEN_CHARS = 1_000;

    private final List<Operator> operators;

    /**
     * One operator.
     *
     * @param name the name recorded in the audit trail
     * @param token the bearer token, 8 to 1,000 characters
     */
    public record Operator(String name, String token) {
        /**
         * Checks the name and the length of the token.
         *
         * @throws org.fuchsiawharf.core.error.ArgumentException if the name is malformed or the token's length
         *     is out of range
         */
        public Operator {
            Arguments.name(name, "operators.name");
            Arguments.between(token.length(), MIN_TOKEN_CHARS, MAX_TOKEN_CHARS, "operators.token length of " + name);
        }
    }

    /**
     * Creates an authenticator for the given operators.
     *
     * @param operators the operators, not null
     */
    public OperatorAuthenticator(List<Operator> operators) {
        this.operators = List.copyOf(operators);
    }

    /**
     * Authenticates the operator by the bearer token of a request, and rejects the request with status 401 if no
     * operator has this token.
     *
     * @param exchange the exchange, not null
     * @return the operator's name, null if the request was rejected
     */
    @Nullable
    String authenticate(HttpServerExchange exchange) {
        String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        byte[] presentedCredentials =
                authorization == null ? new byte[0] : authorization.getBytes(StandardCharsets.UTF_8);
        String operatorName = null;
        for (Operator operator : operators) {
            byte[] expected = ("Bearer " + operator.token()).getBytes(StandardCharsets.UTF_8);
            operatorName = MessageDigest.isEqual(expected, presentedCredentials) ? operator.name() : operatorName;
        }
        if (operatorName == null) {
            exchange.setStatusCode(StatusCodes.UNAUTHORIZED);
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
            exchange.endExchange();
        }
        return operatorName;
    }
}
