package org.fuchsiawharf.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Exchanges observations about crashed endpoints with the connected instances.
 *
 * <p>New observations are sent to all connected instances, which pass on what is new to them, so that they reach the
 * whole fleet without the store. All evidence is sent to a few random instances at intervals, for those that have
 * started or were not connected. Confined to the decision loop.
 */
public final class EvidenceExchange {
    /** Time for which observations are collected before they are sent; the calls of an endpoint are lost together. */
    private static final long BATCHING_DELAY_NANOS = 20_000_000L;
    /** Interval at which all evidence is sent to some instances. */
    private static final long REPAIR_INTERVAL_NANOS = 500_000_000L;
    /** Number of instances to which all evidence is sent at each interval. */
    private static final int REPAIR_FANOUT = 2;

    private final CrashQuarantine quarantine;
    private final PeerPort peers;
    private final TimerService timers;
    private final SplittableRandom random;
    private final Set<String> endedEndpoints = new HashSet<>();
    private final List<CrashEvidence.Loss> losses = new ArrayList<>();
    private final Set<Suspect> sound = new HashSet<>();
    private final List<CrashEvidence.Trial> trials = new ArrayList<>();
    private boolean scheduled;

    /**
     * Creates an exchange; {@link #start} starts it.
     *
     * @param quarantine the quarantine of this instance, not null
     * @param peers sends messages to other instances, not null
     * @param timers the timer service, not null
     * @param random selects instances, not null
     */
    public EvidenceExchange(CrashQuarantine quarantine, PeerPort peers, TimerService timers, SplittableRandom random) {
        this.quarantine = quarantine;
        this.peers = peers;
        this.timers = timers;
        this.random = random;
        quarantine.setObservationListener(this::onObserved);
    }

    /** Starts sending all evidence at intervals; called once. */
    public void start() {
        timers.schedule(timers.now() + REPAIR_INTERVAL_NANOS, this::repair);
    }

    /**
     * Applies a message of another instance.
     *
     * @param message the message, not null
     */
    public void onMessage(PeerMessage.ShareEvidence message) {
        quarantine.apply(message.evidence());
    }

    private void onObserved(CrashEvidence evidence) {
        endedEndpoints.addAll(evidence.endedEndpoints());
        losses.addAll(evidence.losses());
        sound.addAll(evidence.sound());
        trials.addAll(evidence.trials());
        if (!scheduled) {
            scheduled = true;
            timers.schedule(timers.now() + BATCHING_DELAY_NANOS, this::send);
        }
    }

    private void send() {
        scheduled = false;
        PeerMessage message = new PeerMessage.ShareEvidence(new CrashEvidence(endedEndpoints, losses, sound, trials));
        endedEndpoints.clear();
        losses.clear();
        sound.clear();
        trials.clear();
        peers.getConnectedPeers().forEach(peer -> peers.send(peer, message));
    }

    private void repair() {
        timers.schedule(timers.now() + REPAIR_INTERVAL_NANOS, this::repair);
        CrashEvidence evidence = quarantine.getEvidence();
        List<String> connected = new ArrayList<>(peers.getConnectedPeers());
        for (int i = 0; i < REPAIR_FANOUT && !evidence.isEmpty() && !connected.isEmpty(); i++) {
            String peer = connected.remove(random.nextInt(connected.size()));
            peers.send(peer, new PeerMessage.ShareEvidence(evidence));
        }
    }
}
