package org.fuchsiawharf.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Quarantines the prompt parts and the requests under which endpoints crash.
 *
 * <p>When an endpoint crashes, all its calls are lost, most of them sound. What crashes each endpoint is among the lost
 * calls of every such crash and is never answered; what is sound is answered sooner or later. A suspect is quarantined
 * once calls with it were lost at several endpoints that have ended, and released once a call with it is answered. A
 * request is not suspected for a crash that another quarantined suspect explains. The observations of the other
 * instances count like those of this one. While a suspect is quarantined, one instance alone sends a few single
 * requests with it as trials, at increasing intervals.
 *
 * <p>An endpoint is named together with its incarnation, since it may restart under its name. The numbers of suspects,
 * losses and endpoints that are kept are bounded. Confined to the decision loop.
 */
public final class CrashQuarantine {
    /** Time for which a response is continued after which its request cannot have crashed the endpoint. */
    public static final long SOUND_STREAM_NANOS = 1_000_000_000L;

    /** Time for which an answered suspect is not suspected again. */
    private static final long SOUND_NANOS = 60_000_000_000L;
    /** Time after the last loss or refusal for which a suspect is kept. */
    private static final long RETENTION_NANOS = 600_000_000_000L;

    private static final int MAX_SOUND_SUSPECTS = 8_192;
    private static final int MAX_UNCONFIRMED_ANSWERS = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimerService timers;
    private final Predicate<String> isTrialInstance;
    private final DecisionLog log;
    private final Suspicions suspicions = new Suspicions();
    private final EndedEndpoints endedEndpoints = new EndedEndpoints();
    private final Map<Suspect, Long> soundNanosBySuspect = new LinkedHashMap<>();
    private final Deque<Answer> unconfirmedAnswers = new ArrayDeque<>();
    private Consumer<CrashEvidence> onObserved = evidence -> {};
    private Consumer<Suspect> onQuarantined = suspect -> {};
    private Consumer<Suspect> onChanged = suspect -> {};

    private record Answer(List<Suspect> suspects, String endpoint, long nanos) {}

    /**
     * Creates a quarantine without suspects.
     *
     * @param timers the timer service, not null
     * @param isTrialInstance whether this instance is the one that sends the trials of the suspect of an id, not null
     * @param log records quarantines and releases, not null
     */
    public CrashQuarantine(TimerService timers, Predicate<String> isTrialInstance, DecisionLog log) {
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
     * @param listener receives the quarantined suspect, not null
     */
    public void setQuarantineListener(Consumer<Suspect> listener) {
        onQuarantined = listener;
    }

    /**
     * Sets the listener for new and ended quarantines and for trials.
     *
     * @param listener receives the suspect, not null
     */
    public void setChangeListener(Consumer<Suspect> listener) {
        onChanged = listener;
    }

    // -----------------------------------------------------------------------

    /**
     * Finds a quarantined suspect of a new request; a trial that is due is started instead of returning its suspect.
     *
     * @param suspects what the request shares with others, not null
     * @return the suspect, null if the request may be sent
     */
    public @Nullable Suspect findQuarantined(List<Suspect> suspects) {
        if (suspicions.isEmpty()) {
            return null;
        }
        long now = timers.now();
        confirmAnswers(now);
        for (Suspect suspect : suspects) {
            Suspicion suspicion = suspicions.get(suspect);
            if (suspicion == null || !suspicion.isQuarantined()) {
                continue;
            }
            if (isExpired(suspicion, now)) {
                suspicions.remove(suspect);
            } else if (!isTrialInstance.test(suspect.id()) || !suspicion.tryStartTrial(now)) {
                suspicion.onActive(now);
                return suspect;
            } else {
                report("quarantine.trial", suspect, "trials", suspicion.getTrials());
                observeTrial(suspect, suspicion.getTrials());
            }
        }
        return null;
    }

    /**
     * Gets a quarantined suspect, without starting a trial.
     *
     * @param suspects what a request shares with others, not null
     * @return the suspect, null if none is quarantined
     */
    public @Nullable Suspect getQuarantined(List<Suspect> suspects) {
        return suspicions.findQuarantined(suspects);
    }

    /**
     * Checks whether a call was lost under any of the suspects, quarantined or not.
     *
     * @param suspects what a request shares with others, not null
     */
    public boolean isSuspected(List<Suspect> suspects) {
        return suspicions.containsAny(suspects);
    }

    /**
     * Gets the time until the next trial of a quarantined suspect, or until the quarantine ends if no trial is left.
     *
     * @param suspect the suspect, not null
     * @return the time in milliseconds, 0 if nothing is known of the suspect
     */
    public long getRetryMillis(Suspect suspect) {
        Suspicion suspicion = suspicions.get(suspect);
        long now = timers.now();
        return suspicion == null
                ? 0
                : Math.max(0, Math.min(suspicion.getNextTrialNanos(), now + RETENTION_NANOS) - now) / NANOS_PER_MILLI;
    }

    int getTrials(Suspect suspect) {
        Suspicion suspicion = suspicions.get(suspect);
        return suspicion == null ? 0 : suspicion.getTrials();
    }

    /** Quarantines a suspect whose losses are not known, with the number of trials that have begun. */
    void restore(Suspect suspect, int trials) {
        long now = timers.now();
        if (getQuarantined(List.of(suspect)) != null || isSound(suspect, now)) {
            return;
        }
        Suspicion suspicion = suspicions.getOrCreate(suspect);
        suspicion.onActive(now);
        suspicion.addTrials(trials, now);
        suspicion.quarantine(now);
        log.write("quarantine.restored", "kind", suspect.kind().getWireName(), "id", suspect.id(), "trials", trials);
        onQuarantined.accept(suspect);
    }

    // -----------------------------------------------------------------------

    /**
     * Records a call that was lost before its response had lasted for {@link #SOUND_STREAM_NANOS}.
     *
     * @param suspects what the call shares with others, not null
     * @param prompt the hash of the last part of the prompt
     * @param endpoint the endpoint, not null
     */
    public void onLost(List<Suspect> suspects, long prompt, String endpoint) {
        List<CrashEvidence.Loss> losses = suspects.stream()
                .distinct()
                .map(suspect -> new CrashEvidence.Loss(suspect, endpoint, prompt, 0))
                .toList();
        apply(new CrashEvidence(Set.of(), losses, Set.of(), List.of()), false);
    }

    /**
     * Records that an endpoint accepts no connections any more, or that another one has its address.
     *
     * @param endpoint the endpoint, not null
     */
    public void onEnded(String endpoint) {
        apply(new CrashEvidence(Set.of(endpoint), List.of(), Set.of(), List.of()), false);
    }

    /**
     * Records that an endpoint has restarted under its name, so that later responses under the name are not its own.
     *
     * @param endpoint the previous incarnation, not null
     */
    public void onReplaced(String endpoint) {
        endedEndpoints.onReplaced(endpoint, timers.now());
        onEnded(endpoint);
    }

    /**
     * Records a complete response. It counts once the endpoint has outlived it for a while, since the end of a response
     * without framing looks like the end of its endpoint.
     *
     * @param suspects what the request shares with others, not null
     * @param endpoint the endpoint, not null
     */
    public void onAnswered(List<Suspect> suspects, String endpoint) {
        confirmAnswers(timers.now());
        if (!suspects.isEmpty() && unconfirmedAnswers.size() < MAX_UNCONFIRMED_ANSWERS) {
            unconfirmedAnswers.add(new Answer(suspects, endpoint, timers.now()));
        }
    }

    /**
     * Records a response that has lasted for {@link #SOUND_STREAM_NANOS}, whatever its end.
     *
     * @param suspects what the request shares with others, not null
     */
    public void onSound(List<Suspect> suspects) {
        long now = timers.now();
        Set<Suspect> released = new HashSet<>();
        for (Suspect suspect : suspects) {
            if (release(suspect, now)) {
                released.add(suspect);
            }
        }
        if (!released.isEmpty()) {
            onObserved.accept(new CrashEvidence(Set.of(), List.of(), released, List.of()));
        }
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
            if (endedEndpoints.add(endpoint, now)) {
                newlyEnded.add(endpoint);
            }
        });
        Set<Suspect> sound = new HashSet<>();
        List<CrashEvidence.Loss> newLosses = new ArrayList<>();
        for (CrashEvidence.Loss loss : evidence.losses()) {
            if (isSound(loss.suspect(), now)) {
                if (fromPeer) {
                    sound.add(loss.suspect());
                }
            } else if (add(loss, now)) {
                newLosses.add(loss);
            }
        }
        evidence.sound().stream().filter(suspect -> !isSound(suspect, now)).forEach(suspect -> {
            release(suspect, now);
            sound.add(suspect);
        });
        List<CrashEvidence.Trial> newTrials =
                evidence.trials().stream().filter(trial -> add(trial, now)).toList();
        CrashEvidence unknown = new CrashEvidence(newlyEnded, newLosses, sound, newTrials);
        if (!unknown.isEmpty()) {
            onObserved.accept(unknown);
        }
        if (!newlyEnded.isEmpty() || !newLosses.isEmpty()) {
            updateQuarantines(now);
        }
    }

    /**
     * Gets what an instance without any observations has to know.
     *
     * @return the losses of the suspects at several ended endpoints, and their trials, never null
     */
    public CrashEvidence getEvidence() {
        long now = timers.now();
        suspicions.removeInactiveSince(now - RETENTION_NANOS);
        Set<String> endpoints = new HashSet<>();
        List<CrashEvidence.Loss> losses = new ArrayList<>();
        List<CrashEvidence.Trial> trials = new ArrayList<>();
        suspicions.forEach((suspect, suspicion) -> {
            if (findEndedEndpoints(suspicion).size() < 2) {
                return;
            }
            suspicion.getLosses().forEach((call, lostNanos) -> {
                endpoints.add(call.endpoint());
                // A suspect whose requests go on coming is kept by all instances.
                long activeNanos = suspicion.isQuarantined() ? suspicion.getLastActiveNanos() : lostNanos;
                losses.add(new CrashEvidence.Loss(
                        suspect, call.endpoint(), call.prompt(), (now - activeNanos) / NANOS_PER_MILLI));
            });
            if (suspicion.getTrials() > 0) {
                long ageMillis = (now - suspicion.getLastTrialNanos()) / NANOS_PER_MILLI;
                trials.add(new CrashEvidence.Trial(suspect, suspicion.getTrials(), ageMillis));
            }
        });
        endpoints.removeIf(endpoint -> !endedEndpoints.contains(endpoint));
        return new CrashEvidence(endpoints, losses, Set.of(), trials);
    }

    // -----------------------------------------------------------------------

    private boolean add(CrashEvidence.Loss loss, long now) {
        long lostNanos = now - loss.ageMillis() * NANOS_PER_MILLI;
        if (now - lostNanos > RETENTION_NANOS) {
            return false;
        }
        return suspicions
                .getOrCreate(loss.suspect())
                .add(new Suspicion.LostCall(loss.endpoint(), loss.prompt()), lostNanos);
    }

    private boolean add(CrashEvidence.Trial trial, long now) {
        Suspicion suspicion = suspicions.get(trial.suspect());
        return suspicion != null && suspicion.addTrials(trial.count(), now - trial.ageMillis() * NANOS_PER_MILLI);
    }

    private void observeTrial(Suspect suspect, int count) {
        onObserved.accept(
                new CrashEvidence(Set.of(), List.of(), Set.of(), List.of(new CrashEvidence.Trial(suspect, count, 0))));
    }

    private static boolean isExpired(Suspicion suspicion, long now) {
        return now - suspicion.getLastActiveNanos() > RETENTION_NANOS;
    }

    private Set<String> findEndedEndpoints(Suspicion suspicion) {
        return suspicion.findEndedEndpoints(endedEndpoints::contains);
    }

    // -----------------------------------------------------------------------

    private void updateQuarantines(long now) {
        Map<Suspect, Set<String>> endedBySuspect = new HashMap<>();
        suspicions.forEach((suspect, suspicion) -> {
            Set<String> ended = findEndedEndpoints(suspicion);
            if (ended.size() >= Suspicion.MIN_ENDPOINTS) {
                endedBySuspect.put(suspect, ended);
            }
        });
        List<Suspect> quarantined = new ArrayList<>();
        endedBySuspect.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().size()))
                .forEach(entry -> {
                    if (updateQuarantine(entry.getKey(), findUnexplained(entry.getKey(), endedBySuspect), now)) {
                        quarantined.add(entry.getKey());
                    }
                });
        quarantined.forEach(onQuarantined);
    }

    // Returns true if the suspect is newly quarantined.
    private boolean updateQuarantine(Suspect suspect, Set<String> unexplained, long now) {
        Suspicion suspicion = Objects.requireNonNull(suspicions.get(suspect));
        boolean conclusive = suspicion.isConclusive(unexplained);
        boolean explained = unexplained.size() < findEndedEndpoints(suspicion).size();
        if (conclusive == suspicion.isQuarantined() || !conclusive && !explained) {
            return false;
        }
        if (conclusive) {
            suspicion.quarantine(now);
        } else {
            suspicion.release();
        }
        report(conclusive ? "quarantine.added" : "quarantine.explained", suspect, "endpoints", unexplained.size());
        return conclusive;
    }

    // Gets the ended endpoints of a suspect at which no suspect of more crashes was quarantined.
    private Set<String> findUnexplained(Suspect suspect, Map<Suspect, Set<String>> endedBySuspect) {
        Set<String> unexplained = new HashSet<>(endedBySuspect.getOrDefault(suspect, Set.of()));
        if (suspect.kind() == Suspect.Kind.REQUEST) {
            int crashes = unexplained.size();
            endedBySuspect.forEach((other, ended) -> {
                Suspicion suspicion = suspicions.get(other);
                if (suspicion != null && suspicion.isQuarantined() && ended.size() > crashes) {
                    unexplained.removeAll(ended);
                }
            });
        }
        return unexplained;
    }

    private void report(String event, Suspect suspect, String field, int value) {
        log.write(event, "kind", suspect.kind().getWireName(), "id", suspect.id(), field, value);
        onChanged.accept(suspect);
    }

    // -----------------------------------------------------------------------

    private boolean isSound(Suspect suspect, long now) {
        Long soundNanos = soundNanosBySuspect.get(suspect);
        return soundNanos != null && now - soundNanos <= SOUND_NANOS;
    }

    private void confirmAnswers(long now) {
        while (!unconfirmedAnswers.isEmpty()
                && now - unconfirmedAnswers.getFirst().nanos() > SOUND_STREAM_NANOS) {
            Answer answer = unconfirmedAnswers.removeFirst();
            Long endedNanos = endedEndpoints.getEndedNanos(answer.endpoint());
            boolean reachable = endedNanos != null && answer.nanos() > endedNanos;
            if (reachable) {
                // The endpoint could only not be reached for a time.
                endedEndpoints.onReachable(answer.endpoint());
            }
            if (reachable || endedNanos == null || endedNanos - answer.nanos() > SOUND_STREAM_NANOS) {
                onSound(answer.suspects());
            }
        }
    }

    // Returns true if the suspect was suspected.
    private boolean release(Suspect suspect, long now) {
        soundNanosBySuspect.remove(suspect);
        soundNanosBySuspect.put(suspect, now);
        EndedEndpoints.removeOldest(soundNanosBySuspect, MAX_SOUND_SUSPECTS);
        Suspicion suspicion = suspicions.remove(suspect);
        if (suspicion != null && suspicion.isQuarantined()) {
            report("quarantine.released", suspect, "trials", suspicion.getTrials());
        }
        return suspicion != null;
    }
}
