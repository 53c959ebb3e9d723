package org.fuchsiawharf.relay.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import org.fuchsiawharf.core.relay.RelayRequest;
import org.fuchsiawharf.relay.FieldNames;
import org.jspecify.annotations.Nullable;

/**
 * Reads what the decisions need from a request's head.
 *
 * <p>A field that cannot be read counts as absent, since endpoints judge it as well. Stateless and thread-safe.
 */
final class CallerRequestHead {
    /** More pieces in a stage than any route's endpoints could make within a deadline. */
    private static final int MAX_PIECES = 10_000;

    private CallerRequestHead() {}

    static RelayRequest read(HttpRequest head, FieldNames names) {
        HttpHeaders fields = head.headers();
        return new RelayRequest(
                text(fields, names.requestId()),
                host(fields),
                path(head.uri()),
                fields.get(names.key()),
                Math.max(0, number(fields.get(names.deadline()), 0)),
                parts(fields.get(names.promptParts())),
                pieces(fields.get(names.pieces())),
                fields.get(names.pieceKey()));
    }

    /** Gets the id of the last event that the caller has, -1 if it has none. */
    static long lastEventId(HttpRequest head) {
        return number(head.headers().get("last-event-id"), -1);
    }

    private static String text(HttpHeaders fields, String name) {
        String value = fields.get(name);
        return value == null ? "" : value;
    }

    private static String host(HttpHeaders fields) {
        String host = text(fields, HttpHeaderNames.HOST.toString()).toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static List<String> parts(@Nullable String value) {
        List<String> ids = new ArrayList<>();
        if (value != null) {
            for (String part : value.split(",")) {
                int colon = part.indexOf(':');
                ids.add((colon < 0 ? part : part.substring(0, colon)).trim());
            }
        }
        return ids;
    }

    private static List<Integer> pieces(@Nullable String value) {
        List<Integer> counts = new ArrayList<>();
        if (value != null) {
            for (String count : value.split(",")) {
                counts.add((int) Math.min(MAX_PIECES, Math.max(0, number(count, 0))));
            }
        }
        return counts;
    }

    private static long number(@Nullable String value, long otherwise) {
        if (value == null) {
            return otherwise;
        }
        try {
            return Long.parseLong(value.trim());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }
}
