package org.fuchsiawharf.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * JSON text as UTF-8 bytes, which the decision logic does not interpret.
 *
 * <p>Immutable and thread-safe, provided that the array passed to {@link #of(byte[])} is not modified afterwards.
 */
public final class Payload {
    /** The JSON value {@code null}. */
    public static final Payload NULL = ofJson("null");

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps bytes without copying them.
     *
     * @param bytes UTF-8 encoded JSON, not null, not to be modified afterwards
     * @return the payload, never null
     */
    public static Payload of(byte[] bytes) {
        return new Payload(bytes);
    }

    /**
     * Encodes JSON text as UTF-8.
     *
     * @param json the JSON text, not checked, not null
     * @return the payload, never null
     */
    public static Payload ofJson(String json) {
        return new Payload(json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Gets the bytes without copying them.
     *
     * @return UTF-8 encoded JSON, never null, not to be modified
     */
    public byte[] getBytes() {
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
