package org.fuchsiawharf.core.util;

import java.util.regex.Pattern;

import org.fuchsiawharf.core.error.ArgumentException;
import org.jspecify.annotations.Nullable;

/**
 * Argument checks that throw {@link ArgumentException}.
 *
 * <p>Stateless and thread-safe.
 */
public final class Arguments {
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final String NAME_BOUNDS = "1 to 63 of a-z, 0-9 and -, not starting with -";

    private Arguments() {}

    /**
     * Checks that a value is not null.
     *
     * @param <T> the value's type
     * @param value the value, null is rejected
     * @param argument the argument's name, not null
     * @return the value, never null
     * @throws ArgumentException if the value is null
     */
    public static <T> T notNull(@Nullable T value, String argument) {
        if (value == null) {
            throw new ArgumentException(argument, "null", "a value");
        }
        return value;
    }

    /**
     * Checks that a name has the syntax of configured names: 1 to 63 characters a-z, 0-9 and -, not starting with -.
     *
     * @param value the name, null is rejected
     * @param argument the argument's name, not null
     * @return the name, never null
     * @throws ArgumentException if the name is null or malformed
     */
    public static String name(@Nullable String value, String argument) {
        if (value == null || !NAME_PATTERN.matcher(value).matches()) {
            throw new ArgumentException(argument, String.valueOf(value), NAME_BOUNDS);
        }
        return value;
    }

    /**
     * Checks that a number is within inclusive bounds.
     *
     * @param value the number
     * @param min the minimum, inclusive
     * @param max the maximum, inclusive
     * @param argument the argument's name, not null
     * @return the number
     * @throws ArgumentException if the number is out of bounds
     */
    public static long between(long value, long min, long max, String argument) {
        if (value < min || value > max) {
            throw new ArgumentException(argument, Long.toString(value), min + " to " + max);
        }
        return value;
    }

    /**
     * Checks that a number is within inclusive bounds.
     *
     * @param value the number, NaN is rejected
     * @param min the minimum, inclusive
     * @param max the maximum, inclusive
     * @param argument the argument's name, not null
     * @return the number
     * @throws ArgumentException if the number is out of bounds
     */
    public static double between(double value, double min, double max, String argument) {
        if (!(value >= min && value <= max)) {
            throw new ArgumentException(argument, Double.toString(value), min + " to " + max);
        }
        return value;
    }
}
