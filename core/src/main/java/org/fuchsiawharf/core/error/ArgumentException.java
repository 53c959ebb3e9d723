package org.fuchsiawharf.core.error;

/**
 * Thrown when an argument is out of bounds.
 *
 * <p>The message contains the field, the value and the bounds. Immutable and thread-safe apart from the state
 * inherited from {@link Throwable}.
 */
public final class ArgumentException extends WharfException {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final String value;
    private final String bounds;

    /**
     * Creates an exception for one argument.
     *
     * @param field the argument's name, not null
     * @param value the rejected value as text, not null
     * @param bounds a description of the allowed values, not null
     */
    public ArgumentException(String field, String value, String bounds) {
        super(ErrorCode.INVALID_ARGUMENT, field + " is \"" + value + "\"; allowed: " + bounds);
        this.field = field;
        this.value = value;
        this.bounds = bounds;
    }

    /**
     * Gets the argument's name.
     *
     * @return the name, never null
     */
    public String getField() {
        return field;
    }

    /**
     * Gets the rejected value.
     *
     * @return the value as text, never null
     */
    public String getValue() {
        return value;
    }

    /**
     * Gets the description of the allowed values.
     *
     * @return the bounds as text, never null
     */
    public String getBounds() {
        return bounds;
    }
}
