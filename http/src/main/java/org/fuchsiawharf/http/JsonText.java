package org.fuchsiawharf.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes JSON.
 *
 * <p>Stateless and thread-safe.
 */
public final class JsonText {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private JsonText() {}

    /**
     * Checks whether the bytes are exactly one JSON value.
     *
     * @param bytes UTF-8 text, not null
     * @return true if the bytes are one JSON value
     */
    public static boolean isValid(byte[] bytes) {
        try (JsonParser parser = MAPPER.createParser(bytes)) {
            if (parser.nextToken() == null) {
                return false;
            }
            parser.skipChildren();
            return parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Parses a value.
     *
     * @param <T> the value's type
     * @param json JSON text, not null
     * @param type the value's type, not null
     * @return the value, never null
     * @throws UncheckedIOException if the text is not JSON, is null or cannot be converted to the type
     */
    public static <T> T read(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw new UncheckedIOException(new IOException("null where " + type.getSimpleName() + " is expected"));
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a JSON tree.
     *
     * @param bytes UTF-8 JSON, not null
     * @return the tree, never null
     * @throws UncheckedIOException if the bytes are not JSON
     */
    public static JsonNode readTree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a value as JSON.
     *
     * @param value a record, collection or simple value, not null
     * @return JSON text, never null
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
