package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.error.ArgumentException;

/**
 * The identifier of one attempt at one stage of one request.
 *
 * <p>A response is accepted only if its identifier equals that of an open attempt. Immutable and thread-safe.
 *
 * @param instance the name of the entry instance that sent the attempt
 * @param request the sequence number of the request on that instance
 * @param stage the index of the stage in its pipeline, from 0
 * @param attempt the number of the attempt within the request, from 1
 */
public record AttemptId(String instance, long request, int stage, int attempt) {
    private static final int COMPONENT_COUNT = 4;

    /**
     * Parses the wire form.
     *
     * @param text text such as {@code lim-a-1.17.3.4}, not null
     * @return the identifier, never null
     * @throws ArgumentException if the text is malformed
     */
    public static AttemptId parse(String text) {
        String[] components = text.split("\\.", -1);
        if (components.length == COMPONENT_COUNT) {
            try {
                return new AttemptId(
                        components[0],
                        Long.parseLong(components[1]),
                        Integer.parseInt(components[2]),
                        Integer.parseInt(components[3]));
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
