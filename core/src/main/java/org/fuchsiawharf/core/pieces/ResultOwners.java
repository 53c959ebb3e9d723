package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.routing.EndpointState;

/**
 * Remembers through which pool of which instance each result was ordered, since only that instance releases it.
 *
 * <p>Confined to the decision loop.
 */
final class ResultOwners {
    private final PoolContext context;
    private final Map<String, SentPiece.Destination> originByHandle = new HashMap<>();

    ResultOwners(PoolContext context) {
        this.context = context;
    }

    void add(String handle, SentPiece.Destination origin) {
        originByHandle.put(handle, origin);
    }

    /** Removes results and groups their handles by origin; unknown handles are ignored. */
    Map<SentPiece.Destination, List<String>> removeByOrigin(List<String> handles) {
        Map<SentPiece.Destination, List<String>> handlesByOrigin = new HashMap<>();
        for (String handle : handles) {
            SentPiece.Destination origin = originByHandle.remove(handle);
            if (origin != null) {
                handlesByOrigin.computeIfAbsent(origin, o -> new ArrayList<>()).add(handle);
            }
        }
        return handlesByOrigin;
    }

    /** Frees results at their producers directly, since the owner that ordered them is not connected. */
    void freeAtProducers(List<String> handles) {
        for (String handle : handles) {
            EndpointState producer = context.table().findByHandle(handle);
            long now = context.timers().now();
            if (producer != null && producer.acceptsRequest(now)) {
                producer.getRequestLimit().onSent(now);
                context.calls().release(producer.getEndpoint(), List.of(handle), () -> {});
            }
        }
    }
}
