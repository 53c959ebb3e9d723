package org.fuchsiawharf.core.error;

/**
 * Thrown when an argument is not an allowed value.
 *
 * <p>The message contains the argument's name, the value and the allowed values. Immutable and thread-safe apart from
 * the state inherited from {@link Throwable}.
 */
public final class ArgumentException extends WharfException {
    private static final long serialVersionUID = 1L;

    private final String argument;
    private final String value;
    private final String allowedValues;

    /**
     * Creates an exception for one argument.
     *
     * @param argument the argument's name, not null
     * @param value the rejected value as text, not null
     * @param allowedValues a description of the allowed values, not null
     */
    public ArgumentException(String argument, String value, String allowedValues) {
        super(ErrorCode.INVALID_ARGUMENT, argument + " is \"" + value + "\"; allowed: " + allowedValues);
        this.argument = argument;
        this.value = value;
        this.allowedValues = allowedValues;
    }

    /**
     * Gets the argument's name.
     *
     * @return the name, never null
     */
    public String getArgument() {
        return argument;
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
     * @return the allowed values as text, never null
     */
    public String getAllowedValues() {
        return allowedValues;
    }
}
