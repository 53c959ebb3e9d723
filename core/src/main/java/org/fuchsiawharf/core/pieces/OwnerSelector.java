package org.fuchsiawharf.core.pieces;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Selects the owner of a stage service among the reachable instances.
 *
 * <p>A suspected instance is excluded for a fixed time, a leaving instance until its heartbeats report otherwise.
 *
 * <p>Confined to the decision loop.
 */
final class OwnerSelector {
    /** Time for which a suspected instance is excluded. */
    private static final long SUSPICION_NANOS = 1_500_000_000L;

    private final MemberTable members;
    private final PeerPort peers;
    private final TimerService timers;
    private final Map<String, Peer> peersByName = new HashMap<>();
    private boolean selfLeaving;

    /** The state of another instance. */
    private static final class Peer {
        private long lastReceivedNanos;
        private long suspectedUntilNanos;
        private boolean leaving;
    }

    OwnerSelector(MemberTable members, PeerPort peers, TimerService timers) {
        this.members = members;
        this.peers = peers;
        this.timers = timers;
    }

    /** Gets the candidates in order of preference: the owner, the owner within this instance's zone, this instance. */
    List<Member> getCandidates(String service) {
        List<Member> ranked = members.rankOwners(service);
        Set<Member> candidates = new LinkedHashSet<>();
        ranked.stream().filter(this::isEligible).findFirst().ifPresent(candidates::add);
        ranked.stream()
                .filter(this::isInOwnZone)
                .filter(this::isEligible)
                .findFirst()
                .ifPresent(candidates::add);
        if (!selfLeaving || candidates.isEmpty()) {
            candidates.add(members.getSelf());
        }
        return List.copyOf(candidates);
    }

    /** Gets the first candidate. */
    Member getPreferred(String service) {
        return getCandidates(service).get(0);
    }

    /** Checks whether this instance ranks first for a service, overall or in its zone, regardless of reachability. */
    boolean isOwnerOf(String service) {
        Member self = members.getSelf();
        List<Member> ranked = members.rankOwners(service);
        return ranked.get(0).equals(self)
                || ranked.stream()
                        .filter(this::isInOwnZone)
                        .findFirst()
                        .filter(self::equals)
                        .isPresent();
    }

    boolean isInOwnZone(Member member) {
        return member.zone().equals(members.getSelf().zone());
    }

    long getLastReceivedNanos(String member) {
        return peer(member).lastReceivedNanos;
    }

    boolean isLeaving(String member) {
        return peer(member).leaving;
    }

    // -----------------------------------------------------------------------

    void onReceived(String member) {
        peer(member).lastReceivedNanos = timers.now();
    }

    /** Suspects an instance; returns true if it was not suspected before. */
    boolean suspect(String member) {
        Peer peer = peer(member);
        boolean changed = peer.suspectedUntilNanos <= timers.now();
        peer.suspectedUntilNanos = timers.now() + SUSPICION_NANOS;
        return changed;
    }

    /** Sets whether another instance is leaving; returns true if that changed. */
    boolean setLeaving(String member, boolean leaving) {
        Peer peer = peer(member);
        boolean changed = peer.leaving != leaving;
        peer.leaving = leaving;
        return changed;
    }

    void setSelfLeaving() {
        selfLeaving = true;
    }

    void onMembersChanged() {
        peersByName.keySet().removeIf(name -> members.getMember(name) == null);
    }

    private boolean isEligible(Member member) {
        if (member.equals(members.getSelf())) {
            return !selfLeaving;
        }
        Peer peer = peersByName.get(member.name());
        boolean excluded = peer != null && (peer.leaving || peer.suspectedUntilNanos > timers.now());
        return !excluded && peers.isConnected(member.name());
    }

    private Peer peer(String name) {
        return peersByName.computeIfAbsent(name, n -> new Peer());
    }
}
