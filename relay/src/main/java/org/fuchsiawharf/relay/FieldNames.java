package org.fuchsiawharf.relay;

import java.util.Set;

/**
 * The names of the header fields by which callers, instances and endpoints understand each other.
 *
 * <p>Names are in lower case. Immutable and thread-safe.
 *
 * @param requestId names a caller's attempt, on requests and on answers
 * @param deadline how long the caller waits, in milliseconds
 * @param key the workspace key
 * @param workspace the workspace's name, for endpoints
 * @param expectedInstance the id of the endpoint that a request is meant for
 * @param signature the endpoint's signature of its answer
 * @param notExecuted stands on an answer if the endpoint did not run the request
 * @param inputs the handles of the results that a request needs
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces
 * @param promptParts the parts of the prompt
 * @param tokenCount the number of tokens of the prompt and of the answer at most
 * @param rank the request's rank, for endpoints
 * @param load the endpoint's load, on answers
 * @param reserved fields that only an instance may set, which are dropped from callers' requests
 */
public record FieldNames(
        String requestId,
        String deadline,
        String key,
        String workspace,
        String expectedInstance,
        String signature,
        String notExecuted,
        String inputs,
        String pieces,
        String pieceKey,
        String promptParts,
        String tokenCount,
        String rank,
        String load,
        Set<String> reserved) {

    /** The names of the product's own interface. */
    public static final FieldNames PRODUCT = new FieldNames(
            "wharf-request-id",
            "wharf-deadline-ms",
            "wharf-key",
            "wharf-workspace",
            "wharf-expect-endpoint",
            "wharf-signature",
            "wharf-not-executed",
            "wharf-inputs",
            "wharf-pieces",
            "wharf-piece-key",
            "wharf-prompt-parts",
            "wharf-token-count",
            "wharf-rank",
            "wharf-load",
            Set.of());

    /** Copies the set. */
    public FieldNames {
        reserved = Set.copyOf(reserved);
    }

    /**
     * Tells whether a caller's field is never passed on.
     *
     * @param name the field's name in lower case, not null
     * @return true if an instance sets the field itself or keeps it
     */
    public boolean isWithheld(String name) {
        return name.equals(key)
                || name.equals(workspace)
                || name.equals(expectedInstance)
                || name.equals(inputs)
                || name.equals(rank)
                || name.equals(deadline)
                || reserved.contains(name);
    }
}
