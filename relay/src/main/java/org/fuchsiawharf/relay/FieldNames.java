package org.fuchsiawharf.relay;

import java.util.Set;

/**
 * The names of the HTTP header fields that callers, instances and endpoints exchange.
 *
 * <p>Names are in lower case. Immutable and thread-safe.
 *
 * @param requestId the id that the caller gave the request, on requests and responses
 * @param resumedRequest the id of the request whose response brought the first event of a stream that is taken up
 * @param deadline the time left until the deadline, in milliseconds
 * @param workspaceKey the key that identifies the caller's workspace
 * @param workspace the name of the workspace, on requests to endpoints
 * @param expectedEndpoint the name of the endpoint that a request is addressed to
 * @param signature the endpoint's signature of its response
 * @param notExecuted set on a response if the endpoint did not run the request
 * @param inputs the handles of the results that a request needs
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces
 * @param promptParts the parts of the prompt
 * @param tokenCounts the number of tokens of the prompt and the maximum number of tokens of the response
 * @param rank the request's rank, on requests to endpoints
 * @param load the endpoint's load, on responses
 * @param leaving set to 1 on a response if the endpoint leaves and accepts no further requests soon; any of these names
 * @param requestLimit the requests per second that the endpoint accepts from all instances together, on responses; any of
 *     these names
 * @param maxRejections the requests per second that the endpoint can reject for want of room, on responses of a brittle
 *     endpoint; any of these names
 * @param coldMillis the time for which the endpoint stays cold, in milliseconds, on responses
 * @param reserved the fields that only an instance may set, removed from callers' requests
 */
public record FieldNames(
        String requestId,
        String resumedRequest,
        String deadline,
        String workspaceKey,
        String workspace,
        String expectedEndpoint,
        String signature,
        String notExecuted,
        String inputs,
        String pieces,
        String pieceKey,
        String promptParts,
        String tokenCounts,
        String rank,
        String load,
        Set<String> leaving,
        Set<String> requestLimit,
        Set<String> maxRejections,
        String coldMillis,
        Set<String> reserved) {

    /** The default header field names. */
    public static final FieldNames DEFAULT = new FieldNames(
            "wharf-request-id",
            "wharf-resumes",
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
            Set.of("wharf-leaving"),
            Set.of("wharf-request-limit"),
            Set.of("wharf-max-rejections"),
            "wharf-cold-ms",
            Set.of());

    /** Creates the names with an immutable copy of the reserved fields. */
    public FieldNames {
        leaving = Set.copyOf(leaving);
        requestLimit = Set.copyOf(requestLimit);
        maxRejections = Set.copyOf(maxRejections);
        reserved = Set.copyOf(reserved);
    }

    /**
     * Checks whether a field of a caller's request is withheld from endpoints.
     *
     * @param name the name of the field in lower case, not null
     * @return true if the instance sets the field itself or removes it
     */
    public boolean isWithheld(String name) {
        return name.equals(workspaceKey)
                || name.equals(workspace)
                || name.equals(expectedEndpoint)
                || name.equals(inputs)
                || name.equals(rank)
                || name.equals(deadline)
                || reserved.contains(name);
    }
}
