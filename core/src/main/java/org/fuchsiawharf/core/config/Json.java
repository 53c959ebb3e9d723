package org.fuchsiawharf.core.config;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Payload;

/**
 * Converts configuration values to and from canonical JSON, in which equal values have equal bytes.
 *
 * <p>Stateless and thread-safe.
 */
final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .build();

    private Json() {}

    static Payload write(Object value) {
        try {
            return Payload.of(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new WharfException(
                    ErrorCode.INTERNAL, "value can't be written as JSON: " + e.getOriginalMessage(), e);
        }
    }

    static <T> T read(Payload json, Class<T> type) {
        try {
            return MAPPER.readValue(json.getBytes(), type);
        } catch (IOException e) {
            throw new WharfException(ErrorCode.MALFORMED_BODY, "JSON is no " + type.getSimpleName() + ": " + e, e);
        }
    }

    static JsonNode toTree(Object value) {
        return MAPPER.valueToTree(value);
    }

    static <T> T convert(JsonNode node, Class<T> type, String itemName) {
        try {
            return MAPPER.treeToValue(node, type);
        } catch (JsonProcessingException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw new WharfException(ErrorCode.INVALID_ARGUMENT, itemName + ": " + cause.getMessage(), e);
        }
    }
}
