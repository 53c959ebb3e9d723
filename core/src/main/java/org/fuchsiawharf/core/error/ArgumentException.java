package org.fuchsiawharf.core.error;

/**
 * Says that an argument lies outside its bounds.
 *
 * <p>The message names the field, the value and the bounds. Its fields never change.
 */
public final class ArgumentException extends WharfException {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final String value;
    private final String bounds;

    /**
     * Creates an error for one argument.
     *
     * @param field the argument's name, not null
     * @param value the refused value as text, not null
     * @param bounds what is allowed, not null
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
     * Gets the refused value.
     *
     * @return the value as text, never null
     */
    public String getValue() {
        return value;
    }

    /**
     * Gets what is allowed.
     *
     * @return the bounds as text, never null
     */
    public String getBounds() {
        return bounds;
    }
}
