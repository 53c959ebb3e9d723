package org.fuchsiawharf.core.store;

import org.jspecify.annotations.Nullable;

/**
 * An item of the store as of its last change.
 *
 * <p>The array must not be modified. Otherwise immutable and thread-safe.
 *
 * @param key the key, not null
 * @param revision the store revision of the last change
 * @param value the value, null if the item was removed
 */
public record StoreItem(String key, long revision, byte @Nullable [] value) {}
