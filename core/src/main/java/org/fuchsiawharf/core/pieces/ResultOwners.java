package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers through which instance each result was ordered, since only that instance releases it.
 *
 * <p>Confined to the decision loop.
 */
final class ResultOwners {
    private final Map<String, String> ownerByHandle = new HashMap<>();

    void add(String handle, String owner) {
        ownerByHandle.put(handle, owner);
    }

    /** Removes results and groups their handles by owner; unknown handles are ignored. */
    Map<String, List<String>> removeByOwner(List<String> handles) {
        Map<String, List<String>> handlesByOwner = new HashMap<>();
        for (String handle : handles) {
            String owner = ownerByHandle.remove(handle);
            if (owner != null) {
                handlesByOwner.computeIfAbsent(owner, o -> new ArrayList<>()).add(handle);
            }
        }
        return handlesByOwner;
    }
}
