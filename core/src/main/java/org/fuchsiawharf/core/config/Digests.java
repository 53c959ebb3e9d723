package org.fuchsiawharf.core.config;

import org.apache.commons.codec.digest.DigestUtils;
import org.fuchsiawharf.core.model.Payload;

/**
 * Computes the content hashes under which values are stored.
 *
 * <p>Stateless and thread-safe.
 */
final class Digests {
    private Digests() {}

    /**
     * Computes the SHA-256 hash of a value.
     *
     * @param value the value, not null
     * @return the hash as 64 hexadecimal digits, never null
     */
    static String of(Payload value) {
        return DigestUtils.sha256Hex(value.getBytes());
    }
}
