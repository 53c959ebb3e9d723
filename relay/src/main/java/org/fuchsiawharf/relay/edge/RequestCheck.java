package org.fuchsiawharf.relay.edge;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.jspecify.annotations.Nullable;

/**
 * Finds what makes the head of a request malformed, too long or ambiguous.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestCheck {
    private RequestCheck() {}

    /**
     * The reason for which a request is rejected.
     *
     * @param status the status of the response
     * @param detail the body of the response
     */
    record Problem(HttpResponseStatus status, String detail) {}

    /**
     * Checks the head of a request.
     *
     * @param request the head, not null
     * @param singleValuedFields the names of the fields that may occur only once, not null
     * @return the reason to reject the request, null if there is none
     */
    static @Nullable Problem find(HttpRequest request, List<String> singleValuedFields) {
        Throwable cause = request.decoderResult().cause();
        if (cause != null) {
            boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            return new Problem(
                    tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    String.valueOf(cause.getMessage()));
        }
        String ambiguity = findAmbiguity(request, singleValuedFields);
        return ambiguity == null ? null : new Problem(HttpResponseStatus.BAD_REQUEST, ambiguity);
    }

    private static @Nullable String findAmbiguity(HttpRequest request, List<String> singleValuedFields) {
        HttpHeaders fields = request.headers();
        List<String> transferCodings = fields.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferCodings.size() > 1
                || (transferCodings.size() == 1
                        && !transferCodings.get(0).trim().equalsIgnoreCase("chunked"))) {
            return "transfer encodings other than chunked are not supported";
        }
        if (!transferCodings.isEmpty() && !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return "chunks need HTTP/1.1";
        }
        if (fields.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "the request needs exactly one host";
        }
        for (String name : singleValuedFields) {
            if (fields.getAll(name).size() > 1) {
                return "the field " + name + " stands more than once";
            }
        }
        return null;
    }
}
