package org.fuchsiawharf.core.config;

import org.apache.commons.codec.digest.DigestUtils;
import org.fuchsiawharf.core.model.Payload;

/**
 * Names values by their content.
 *
 * <p>Stateless and thread-safe.
 */
final class Digests {
    private Digests() {}

    /**
     * Gets the SHA-256 of a value.
     *
     * @param value the value, not null
     * @return 64 hexadecimal digits, never null
     */
    static String of(Payload value) {
        return DigestUtils.sha256Hex(value.getBytes());
    }
}
