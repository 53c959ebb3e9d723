package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.error.ArgumentException;

/**
 * Names one attempt at one stage of one request.
 *
 * <p>An answer is accepted only if it names the exact attempt that is open. Immutable and thread-safe.
 *
 * @param instance the entry instance that made the attempt
 * @param request the request's number on that instance
 * @param stage the stage's index in its pipeline, from 0
 * @param attempt the attempt's number within the request, from 1
 */
public record AttemptId(String instance, long request, int stage, int attempt) {
    private static final int PARTS = 4;

    /**
     * Parses the wire form.
     *
     * @param text text such as {@code lim-a-1.17.3.4}, not null
     * @return the id, never null
     * @throws ArgumentException if the text is malformed
     */
    public static AttemptId parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length == PARTS) {
            try {
                return new AttemptId(
                        parts[0], Long.parseLong(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
            } catch (NumberFormatException e) {
                throw new ArgumentException("attempt id", text, "instance.request.stage.attempt");
            }
        }
        throw new ArgumentException("attempt id", text, "instance.request.stage.attempt");
    }

    /**
     * Gets the wire form.
     *
     * @return text such as {@code lim-a-1.17.3.4}, never null
     */
    @Override
    public String toString() {
        return instance + "." + request + "." + stage + "." + attempt;
    }
}
