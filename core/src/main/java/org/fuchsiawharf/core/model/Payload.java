package org.fuchsiawharf.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * JSON text as bytes, opaque to the decisions.
 *
 * <p>Immutable, provided that the array given to {@link #of(byte[])} is not changed afterwards; thread-safe.
 */
public final class Payload {
    /** The JSON value {@code null}. */
    public static final Payload NULL = parse("null");

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps bytes without copying them.
     *
     * @param bytes UTF-8 JSON, not null, not changed afterwards
     * @return the payload, never null
     */
    public static Payload of(byte[] bytes) {
        return new Payload(bytes);
    }

    /**
     * Encodes JSON text.
     *
     * @param json JSON text, not null
     * @return the payload, never null
     */
    public static Payload parse(String json) {
        return new Payload(json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Gets the bytes without copying them.
     *
     * @return UTF-8 JSON, never null, not to be changed
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
