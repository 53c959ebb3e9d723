package org.fuchsiawharf.core.quarantine;

import java.util.Locale;

/**
 * What may cause endpoints to crash: a part that prompts share, or one request that is repeated.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind whether the suspect is a part or a request
 * @param id the id of the part, or the fingerprint of the request
 */
public record Suspect(Kind kind, String id) {
    /** The kinds of suspects. */
    public enum Kind {
        /** A part of a prompt, which different requests share. */
        PROMPT_PART,
        /** A request, which its repeats share. */
        REQUEST;

        /**
         * Gets the name used in logs, such as {@code prompt_part}.
         *
         * @return the name in lower case, never null
         */
        public String getWireName() {
            return name().toLowerCase(Locale.ROOT);
        }

        /**
         * Gets the kind of a name.
         *
         * @param name the name in lower case, not null
         * @return the kind, never null
         * @throws IllegalArgumentException if no kind has the name
         */
        public static Kind ofWireName(String name) {
            return valueOf(name.toUpperCase(Locale.ROOT));
        }
    }

    /**
     * Creates a suspect for a part of a prompt.
     *
     * @param id the id of the part, not null
     * @return the suspect, never null
     */
    public static Suspect ofPart(String id) {
        return new Suspect(Kind.PROMPT_PART, id);
    }

    /**
     * Creates a suspect for a request.
     *
     * @param fingerprint the fingerprint that the request shares with its repeats, not null
     * @return the suspect, never null
     */
    public static Suspect ofRequest(String fingerprint) {
        return new Suspect(Kind.REQUEST, fingerprint);
    }
}
