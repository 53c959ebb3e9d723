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
 * The claims of one shard, stored together in one value of the key-value service.
 *
 * <p>Mutable. Confined to one call of {@link ClaimCommitter#commit}.
 */
final class ClaimShard {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final Map<String, Claim> claims = new TreeMap<>();

    private record StoredClaims(List<Claim> claims) {}

    static ClaimShard read(Payload value) {
        ClaimShard shard = new ClaimShard();
        if (value.equals(Payload.NULL)) {
            return shard;
        }
        try {
            MAPPER.readValue(value.getBytes(), StoredClaims.class).claims().forEach(c -> shard.claims.put(c.key(), c));
        } catch (IOException e) {
            throw new WharfException(ErrorCode.INTERNAL, "stored claims are malformed: " + e.getMessage(), e);
        }
        return shard;
    }

    Payload write() {
        try {
            return Payload.of(MAPPER.writeValueAsBytes(new StoredClaims(new ArrayList<>(claims.values()))));
        } catch (JsonProcessingException e) {
            throw new WharfException(ErrorCode.INTERNAL, "claims can't be serialized: " + e.getOriginalMessage(), e);
        }
    }

    Map<String, Claim> claims() {
        return claims;
    }

    void removeOlderThan(long millis) {
        claims.values().removeIf(claim -> claim.atMillis() < millis);
    }
}
