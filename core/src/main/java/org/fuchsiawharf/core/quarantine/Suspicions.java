package org.fuchsiawharf.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * The suspicions by suspect, a bounded number of them.
 *
 * <p>Confined to the decision loop.
 */
final class Suspicions {
    private static final int MAX_SUSPICIONS = 2_048;

    private final Map<Suspect, Suspicion> bySuspect = new LinkedHashMap<>();

    boolean isEmpty() {
        return bySuspect.isEmpty();
    }

    @Nullable
    Suspicion get(Suspect suspect) {
        return bySuspect.get(suspect);
    }

    /** Finds the first of some suspects that is quarantined; null if none is. */
    @Nullable
    Suspect findQuarantined(List<Suspect> suspects) {
        for (Suspect suspect : suspects) {
            Suspicion suspicion = bySuspect.get(suspect);
            if (suspicion != null && suspicion.isQuarantined()) {
                return suspect;
            }
        }
        return null;
    }

    boolean containsAny(List<Suspect> suspects) {
        return suspects.stream().anyMatch(bySuspect::containsKey);
    }

    Suspicion getOrCreate(Suspect suspect) {
        if (!bySuspect.containsKey(suspect) && bySuspect.size() >= MAX_SUSPICIONS) {
            evict();
        }
        return bySuspect.computeIfAbsent(suspect, s -> new Suspicion(s.kind()));
    }

    @Nullable
    Suspicion remove(Suspect suspect) {
        return bySuspect.remove(suspect);
    }

    /** Removes the suspicions without a loss or refusal since the given time. */
    void removeInactiveSince(long nanos) {
        bySuspect.values().removeIf(suspicion -> suspicion.getLastActiveNanos() < nanos);
    }

    void forEach(BiConsumer<Suspect, Suspicion> action) {
        bySuspect.forEach(action);
    }

    // Removes the oldest suspicion that rests on one endpoint and is no quarantine, so that many different suspects
    // cannot displace a crashing one.
    private void evict() {
        Suspect evicted = bySuspect.entrySet().stream()
                .filter(entry -> !entry.getValue().isQuarantined()
                        && entry.getValue().findEndedEndpoints(endpoint -> true).size() < 2)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(() -> bySuspect.keySet().iterator().next());
        bySuspect.remove(evicted);
    }
}
