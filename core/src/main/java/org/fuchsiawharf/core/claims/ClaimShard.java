package org.fuchsiawharf.core.claims;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Payload;

/**
 * The claims of one shard, as they are stored in one value.
 *
 * <p>Confined to one call.
 */
final class ClaimPage {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final Map<String, Claim> claims = new TreeMap<>();

    private record Stored(List<Claim> claims) {}

    static ClaimPage read(Payload value) {
        ClaimPage page = new ClaimPage();
        if (value.equals(Payload.NULL)) {
            return page;
        }
        try {
            MAPPER.readValue(value.getBytes(), Stored.class).claims().forEach(c -> page.claims.put(c.key(), c));
        } catch (IOException e) {
            throw new WharfException(ErrorCode.INTERNAL, "claims are malformed: " + e.getMessage(), e);
        }
        return page;
    }

    Payload write() {
        try {
            return Payload.of(MAPPER.writeValueAsBytes(new Stored(new ArrayList<>(claims.values()))));
        } catch (JsonProcessingException e) {
            throw new WharfException(ErrorCode.INTERNAL, "claims can't be written: " + e.getOriginalMessage(), e);
        }
    }

    Map<String, Claim> claims() {
        return claims;
    }

    void dropOlderThan(long millis) {
        claims.values().removeIf(claim -> claim.atMillis() < millis);
    }
}
