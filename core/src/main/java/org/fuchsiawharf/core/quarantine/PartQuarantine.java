package org.fuchsiawharf.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Quarantines the prompt parts under which endpoints crash.
 *
 * <p>When an endpoint crashes, all its calls are lost, most of them sound. A part that crashes each endpoint is among
 * the lost calls of every such crash and is never answered; a sound part is answered sooner or later. A part is
 * quarantined once calls with it were lost at several endpoints that have ended, and released once a call with it is
 * answered. The observations of the other instances count like those of this one. While a part is quarantined, one
 * instance alone sends single requests with it as trials, at increasing intervals.
 *
 * <p>The numbers of parts, losses and endpoints that are kept are bounded. Confined to the decision loop.
 */
public final class PartQuarantine {
    /** Time for which a response is continued after which its prompt cannot have crashed the endpoint. */
    public static final long SOUND_STREAM_NANOS = 1_000_000_000L;

    /** Time for which an answered part is not suspected. */
    private static final long SOUND_NANOS = 60_000_000_000L;
    /** Time after the last loss for which a part stays suspected or quarantined. */
    private static final long LOSS_RETENTION_NANOS = 600_000_000_000L;
    /** Time from the quarantine to the first trial. */
    private static final long FIRST_TRIAL_DELAY_NANOS = 60_000_000_000L;

    private static final int MAX_SUSPICIONS = 1_024;
    private static final int MAX_ENDED_ENDPOINTS = 1_024;
    private static final int MAX_SOUND_PARTS = 4_096;
    private static final int MAX_UNCONFIRMED_ANSWERS = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimerService timers;
    private final Predicate<String> isTrialInstance;
    private final DecisionLog log;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();
    private final Map<String, Long> endedNanosByEndpoint = new LinkedHashMap<>();
    private final Map<String, Long> soundNanosByPart = new LinkedHashMap<>();
    private final Deque<Answer> unconfirmedAnswers = new ArrayDeque<>();
    private Consumer<CrashEvidence> onObserved = evidence -> {};
    private Consumer<String> onQuarantined = part -> {};

    private record Answer(List<String> parts, String endpoint, long nanos) {}

    /**
     * Creates a quarantine without parts.
     *
     * @param timers the timer service, not null
     * @param isTrialInstance whether this instance is the one that sends the trials of a part, not null
     * @param log records quarantines and releases, not null
     */
    public PartQuarantine(TimerService timers, Predicate<String> isTrialInstance, DecisionLog log) {
        this.timers = timers;
        this.isTrialInstance = isTrialInstance;
        this.log = log;
    }

    /**
     * Sets the listener for observations that the other instances do not know yet.
     *
     * @param listener receives the new observations, not null
     */
    public void setObservationListener(Consumer<CrashEvidence> listener) {
        onObserved = listener;
    }

    /**
     * Sets the listener for new quarantines.
     *
     * @param listener receives the quarantined part, not null
     */
    public void setQuarantineListener(Consumer<String> listener) {
        onQuarantined = listener;
    }

    // -----------------------------------------------------------------------

    /**
     * Finds a quarantined part; a trial that is due is started instead of returning its part.
     *
     * @param sharedParts the parts of a prompt but the last, not null
     * @return the part, null if a request with the parts may be sent
     */
    public @Nullable String findQuarantined(List<String> sharedParts) {
        if (suspicions.isEmpty()) {
            return null;
        }
        long now = timers.now();
        confirmAnswers(now);
        for (String part : sharedParts) {
            Suspicion suspicion = suspicions.get(part);
            if (suspicion == null || !suspicion.isQuarantined()) {
                continue;
            }
            if (now - suspicion.getLastLostNanos() > LOSS_RETENTION_NANOS) {
                suspicions.remove(part);
            } else if (!isTrialInstance.test(part) || !suspicion.tryStartTrial(now)) {
                return part;
            } else {
                log.write("part.trial", "part", part);
            }
        }
        return null;
    }

    /**
     * Gets a quarantined part, without starting a trial.
     *
     * @param sharedParts the parts of a prompt but the last, not null
     * @return the part, null if none is quarantined
     */
    public @Nullable String getQuarantined(List<String> sharedParts) {
        for (String part : sharedParts) {
            Suspicion suspicion = suspicions.get(part);
            if (suspicion != null && suspicion.isQuarantined()) {
                return part;
            }
        }
        return null;
    }

    /**
     * Gets the time until the next trial of a quarantined part.
     *
     * @param part the part, not null
     * @return the time in milliseconds, 0 if the part is not quarantined
     */
    public long getRetryMillis(String part) {
        Suspicion suspicion = suspicions.get(part);
        return suspicion == null ? 0 : Math.max(0, suspicion.getNextTrialNanos() - timers.now()) / NANOS_PER_MILLI;
    }

    // -----------------------------------------------------------------------

    /**
     * Records a call that was lost before its response had lasted for {@link #SOUND_STREAM_NANOS}.
     *
     * @param sharedParts the parts of the prompt but the last, not null
     * @param prompt the hash of the last part of the prompt
     * @param endpoint the name of the endpoint, not null
     */
    public void onLost(List<String> sharedParts, long prompt, String endpoint) {
        List<CrashEvidence.Loss> losses = sharedParts.stream()
                .distinct()
                .map(part -> new CrashEvidence.Loss(part, endpoint, prompt, 0))
                .toList();
        apply(new CrashEvidence(Set.of(), losses, Set.of()), false);
    }

    /**
     * Records that an endpoint accepts no connections any more, or that another one has its address.
     *
     * @param endpoint the name of the endpoint, not null
     */
    public void onEnded(String endpoint) {
        apply(new CrashEvidence(Set.of(endpoint), List.of(), Set.of()), false);
    }

    /**
     * Records a complete response. It counts once the endpoint has outlived it for a while, since the end of a response
     * without framing looks like the end of its endpoint.
     *
     * @param sharedParts the parts of the prompt but the last, not null
     * @param endpoint the name of the endpoint, not null
     */
    public void onAnswered(List<String> sharedParts, String endpoint) {
        confirmAnswers(timers.now());
        if (!sharedParts.isEmpty() && unconfirmedAnswers.size() < MAX_UNCONFIRMED_ANSWERS) {
            unconfirmedAnswers.add(new Answer(sharedParts, endpoint, timers.now()));
        }
    }

    /**
     * Records a response that has lasted for {@link #SOUND_STREAM_NANOS}, whatever its end.
     *
     * @param sharedParts the parts of the prompt but the last, not null
     */
    public void onSound(List<String> sharedParts) {
        markSound(sharedParts);
    }

    /**
     * Applies the observations of another instance; those that are new are passed on.
     *
     * @param evidence the observations, not null
     */
    public void apply(CrashEvidence evidence) {
        apply(evidence, true);
    }

    private void apply(CrashEvidence evidence, boolean fromPeer) {
        long now = timers.now();
        confirmAnswers(now);
        Set<String> newlyEnded = new HashSet<>();
        evidence.endedEndpoints().forEach(endpoint -> {
            if (endedNanosByEndpoint.putIfAbsent(endpoint, now) == null) {
                newlyEnded.add(endpoint);
            }
        });
        removeOldest(endedNanosByEndpoint, MAX_ENDED_ENDPOINTS);
        Set<String> soundParts = new HashSet<>();
        List<CrashEvidence.Loss> newLosses = new ArrayList<>();
        for (CrashEvidence.Loss loss : evidence.losses()) {
            if (isSound(loss.part(), now)) {
                if (fromPeer) {
                    soundParts.add(loss.part());
                }
            } else if (add(loss, now)) {
                newLosses.add(loss);
            }
        }
        evidence.soundParts().stream().filter(part -> !isSound(part, now)).forEach(part -> {
            release(part, now);
            soundParts.add(part);
        });
        CrashEvidence unknown = new CrashEvidence(newlyEnded, newLosses, soundParts);
        if (!unknown.isEmpty()) {
            onObserved.accept(unknown);
        }
        if (!newlyEnded.isEmpty() || !newLosses.isEmpty()) {
            quarantineConclusive(now);
        }
    }

    /**
     * Gets what an instance without any observations has to know.
     *
     * @return the losses of the parts that are suspected at several endpoints, never null
     */
    public CrashEvidence getEvidence() {
        long now = timers.now();
        suspicions.values().removeIf(s -> now - s.getLastLostNanos() > LOSS_RETENTION_NANOS);
        Set<String> endpoints = new HashSet<>();
        List<CrashEvidence.Loss> losses = new ArrayList<>();
        suspicions.forEach((part, suspicion) -> {
            if (suspicion.countEndpoints(endedNanosByEndpoint::containsKey) < 2) {
                return;
            }
            suspicion.getLosses().forEach((call, lostNanos) -> {
                endpoints.add(call.endpoint());
                losses.add(new CrashEvidence.Loss(
                        part, call.endpoint(), call.prompt(), (now - lostNanos) / NANOS_PER_MILLI));
            });
        });
        endpoints.retainAll(endedNanosByEndpoint.keySet());
        return new CrashEvidence(endpoints, losses, Set.of());
    }

    // -----------------------------------------------------------------------

    private boolean add(CrashEvidence.Loss loss, long now) {
        long lostNanos = now - loss.ageMillis() * NANOS_PER_MILLI;
        if (now - lostNanos > LOSS_RETENTION_NANOS) {
            return false;
        }
        if (!suspicions.containsKey(loss.part()) && suspicions.size() >= MAX_SUSPICIONS) {
            evictSuspicion();
        }
        return suspicions
                .computeIfAbsent(loss.part(), part -> new Suspicion())
                .add(new Suspicion.LostCall(loss.endpoint(), loss.prompt()), lostNanos);
    }

    // Removes the oldest suspicion that rests on one endpoint, so that many different parts cannot displace a crashing
    // one.
    private void evictSuspicion() {
        String evicted = suspicions.entrySet().stream()
                .filter(entry -> entry.getValue().countEndpoints(endpoint -> true) < 2)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(() -> suspicions.keySet().iterator().next());
        suspicions.remove(evicted);
    }

    private void quarantineConclusive(long now) {
        List<String> quarantined = new ArrayList<>();
        suspicions.forEach((part, suspicion) -> {
            if (!suspicion.isQuarantined() && suspicion.isConclusive(endedNanosByEndpoint::containsKey)) {
                suspicion.quarantine(now, FIRST_TRIAL_DELAY_NANOS);
                log.write(
                        "part.quarantined",
                        "part",
                        part,
                        "endpoints",
                        suspicion.countEndpoints(endedNanosByEndpoint::containsKey),
                        "losses",
                        suspicion.getLosses().size());
                quarantined.add(part);
            }
        });
        quarantined.forEach(onQuarantined);
    }

    private boolean isSound(String part, long now) {
        Long soundNanos = soundNanosByPart.get(part);
        return soundNanos != null && now - soundNanos <= SOUND_NANOS;
    }

    private void confirmAnswers(long now) {
        while (!unconfirmedAnswers.isEmpty()
                && now - unconfirmedAnswers.getFirst().nanos() > SOUND_STREAM_NANOS) {
            Answer answer = unconfirmedAnswers.removeFirst();
            Long endedNanos = endedNanosByEndpoint.get(answer.endpoint());
            if (endedNanos != null && answer.nanos() > endedNanos) {
                // The endpoint could only not be reached for a time.
                endedNanosByEndpoint.remove(answer.endpoint());
                endedNanos = null;
            }
            if (endedNanos == null || endedNanos - answer.nanos() > SOUND_STREAM_NANOS) {
                markSound(answer.parts());
            }
        }
    }

    private void markSound(List<String> parts) {
        long now = timers.now();
        Set<String> released = new HashSet<>();
        for (String part : parts) {
            if (release(part, now)) {
                released.add(part);
            }
        }
        if (!released.isEmpty()) {
            onObserved.accept(new CrashEvidence(Set.of(), List.of(), released));
        }
    }

    // Returns true if the part was suspected.
    private boolean release(String part, long now) {
        soundNanosByPart.remove(part);
        soundNanosByPart.put(part, now);
        removeOldest(soundNanosByPart, MAX_SOUND_PARTS);
        Suspicion suspicion = suspicions.remove(part);
        if (suspicion != null && suspicion.isQuarantined()) {
            log.write("part.released", "part", part);
        }
        return suspicion != null;
    }

    private static void removeOldest(Map<String, Long> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
