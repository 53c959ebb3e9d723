package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.port.CallerPort;
import org.jspecify.annotations.Nullable;

/**
 * The requests without an outcome, indexed by number and by caller.
 *
 * <p>Confined to the decision loop.
 */
final class ActiveRequests {
    private final Map<Long, ActiveRequest> byNumber = new HashMap<>();
    private final IdentityHashMap<CallerPort, ActiveRequest> byCaller = new IdentityHashMap<>();

    @Nullable
    ActiveRequest get(long number) {
        return byNumber.get(number);
    }

    @Nullable
    ActiveRequest getByCaller(CallerPort caller) {
        return byCaller.get(caller);
    }

    int size() {
        return byNumber.size();
    }

    List<ActiveRequest> toList() {
        return List.copyOf(byNumber.values());
    }

    void add(ActiveRequest active) {
        byNumber.put(active.number, active);
        active.callers.forEach(caller -> byCaller.put(caller, active));
    }

    void addCaller(ActiveRequest active, CallerPort caller) {
        active.callers.add(caller);
        byCaller.put(caller, active);
    }

    void removeCaller(ActiveRequest active, CallerPort caller) {
        active.callers.remove(caller);
        byCaller.remove(caller);
    }

    void remove(ActiveRequest active) {
        byNumber.remove(active.number);
        active.callers.forEach(byCaller::remove);
    }
}
