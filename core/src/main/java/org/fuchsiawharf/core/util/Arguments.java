package org.fuchsiawharf.core.util;

import java.util.regex.Pattern;

import org.fuchsiawharf.core.error.ArgumentException;
import org.jspecify.annotations.Nullable;

/**
 * Checks arguments where they enter.
 *
 * <p>Stateless and thread-safe.
 */
public final class Arguments {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final String NAME_BOUNDS = "1 to 63 of a-z, 0-9 and -, not starting with -";

    private Arguments() {}

    /**
     * Checks that a value is present.
     *
     * @param <T> the value's type
     * @param value the value, null is refused
     * @param field the argument's name, not null
     * @return the value, never null
     * @throws ArgumentException if the value is null
     */
    public static <T> T notNull(@Nullable T value, String field) {
        if (value == null) {
            throw new ArgumentException(field, "null", "a value");
        }
        return value;
    }

    /**
     * Checks that a name has the form every configured name has.
     *
     * @param value the name, null is refused
     * @param field the argument's name, not null
     * @return the name, never null
     * @throws ArgumentException if the name is null or malformed
     */
    public static String name(@Nullable String value, String field) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new ArgumentException(field, String.valueOf(value), NAME_BOUNDS);
        }
        return value;
    }

    /**
     * Checks that a number lies within inclusive bounds.
     *
     * @param value the number
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @param field the argument's name, not null
     * @return the number
     * @throws ArgumentException if the number lies outside the bounds
     */
    public static long between(long value, long min, long max, String field) {
        if (value < min || value > max) {
            throw new ArgumentException(field, Long.toString(value), min + " to " + max);
        }
        return value;
    }

    /**
     * Checks that a number lies within inclusive bounds.
     *
     * @param value the number; NaN is refused
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @param field the argument's name, not null
     * @return the number
     * @throws ArgumentException if the number lies outside the bounds
     */
    public static double between(double value, double min, double max, String field) {
        if (!(value >= min && value <= max)) {
            throw new ArgumentException(field, Double.toString(value), min + " to " + max);
        }
        return value;
    }
}
