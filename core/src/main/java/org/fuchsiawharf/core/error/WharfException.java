package org.fuchsiawharf.core.error;

/**
 * An unchecked error with a stable code.
 *
 * <p>Not thread-safe, as every exception; its code never changes.
 */
public class WharfException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code the stable code, not null
     * @param message what failed and where, not null
     */
    public WharfException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an error with its cause.
     *
     * @param code the stable code, not null
     * @param message what failed and where, not null
     * @param cause the error that led to this one, not null
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
