package org.fuchsiawharf.core.error;

/**
 * An unchecked exception with a stable error code.
 *
 * <p>Not thread-safe, as {@link Throwable} is mutable; the code is immutable.
 */
public class WharfException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code the stable code, not null
     * @param message a description of the failure, not null
     */
    public WharfException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code, not null
     * @param message a description of the failure, not null
     * @param cause the cause, not null
     */
    public WharfException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Gets the stable code.
     *
     * @return the code, never null
     */
    public ErrorCode getCode() {
        return code;
    }
}
