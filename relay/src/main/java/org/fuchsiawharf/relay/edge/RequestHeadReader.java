package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import org.apache.commons.codec.digest.MurmurHash3;
import org.fuchsiawharf.core.relay.RelayRequest;
import org.fuchsiawharf.relay.FieldNames;
import org.jspecify.annotations.Nullable;

/**
 * Reads from a request the properties that routing needs.
 *
 * <p>A malformed field is treated as absent, since endpoints validate the fields as well. Stateless and thread-safe.
 */
final class RequestHeadReader {
    /** Maximum number of pieces of a stage, more than the endpoints of a route can produce within a deadline. */
    private static final int MAX_PIECES = 10_000;

    private RequestHeadReader() {}

    static RelayRequest read(HttpRequest head, ByteBuf body, FieldNames names) {
        HttpHeaders fields = head.headers();
        return new RelayRequest(
                getOrEmpty(fields, names.requestId()),
                parseHost(fields),
                parsePath(head.uri()),
                fields.get(names.workspaceKey()),
                Math.max(0, parseNumber(fields.get(names.deadline()), 0)),
                parsePromptPartIds(fields.get(names.promptParts())),
                parsePieceCounts(fields.get(names.pieces())),
                fields.get(names.pieceKey()),
                hashContent(head, body),
                readTakeUp(head, names));
    }

    private static RelayRequest.@Nullable TakeUp readTakeUp(HttpRequest head, FieldNames names) {
        long lastEventId = readLastEventId(head);
        return lastEventId < 0
                ? null
                : new RelayRequest.TakeUp(getOrEmpty(head.headers(), names.resumedRequest()), lastEventId);
    }

    private static long hashContent(HttpRequest head, ByteBuf body) {
        byte[] target = (head.method().name() + " " + head.uri() + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] content = Arrays.copyOf(target, target.length + body.readableBytes());
        body.getBytes(body.readerIndex(), content, target.length, body.readableBytes());
        return MurmurHash3.hash128x64(content, 0, content.length, 0)[0];
    }

    /** Gets the id of the last event that the caller has received, -1 if there is none. */
    static long readLastEventId(HttpRequest head) {
        return parseNumber(head.headers().get("last-event-id"), -1);
    }

    private static String getOrEmpty(HttpHeaders fields, String name) {
        String value = fields.get(name);
        return value == null ? "" : value;
    }

    private static String parseHost(HttpHeaders fields) {
        String host = getOrEmpty(fields, HttpHeaderNames.HOST.toString()).toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static String parsePath(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static List<String> parsePromptPartIds(@Nullable String value) {
        List<String> ids = new ArrayList<>();
        if (value != null) {
            for (String part : value.split(",")) {
                int colon = part.indexOf(':');
                ids.add((colon < 0 ? part : part.substring(0, colon)).trim());
            }
        }
        return ids;
    }

    private static List<Integer> parsePieceCounts(@Nullable String value) {
        List<Integer> counts = new ArrayList<>();
        if (value != null) {
            for (String count : value.split(",")) {
                counts.add((int) Math.min(MAX_PIECES, Math.max(0, parseNumber(count, 0))));
            }
        }
        return counts;
    }

    private static long parseNumber(@Nullable String value, long defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value.trim());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
