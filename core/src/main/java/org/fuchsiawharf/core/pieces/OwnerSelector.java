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
 * Chooses the instance that works for a stage service, among those that are reached.
 *
 * <p>An instance that fell silent is left alone for a while; one that leaves gets nothing. Confined to the decision
 * loop.
 */
final class OwnerSelector {
    /** How long a silent owner is left alone before pieces go there again. */
    private static final long SUSPICION_NANOS = 1_500_000_000L;

    private final MemberTable members;
    private final PeerPort peers;
    private final TimerService timers;
    private final Map<String, Peer> peersByName = new HashMap<>();
    private boolean selfLeaving;

    /** What is known of another instance. */
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

    /** Gets whom to ask in turn: the owner, the one within the own zone, this instance. */
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

    /** Gets whom to ask first. */
    Member getPreferred(String service) {
        return getCandidates(service).get(0);
    }

    /** Tells whether this instance is the owner of a service, in all or within its zone, if all are reached. */
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

    // -----------------------------------------------------------------------

    void onReceived(String member) {
        peer(member).lastReceivedNanos = timers.now();
    }

    /** Leaves an instance alone for a while; true if it was trusted until now. */
    boolean suspect(String member) {
        Peer peer = peer(member);
        boolean changed = peer.suspectedUntilNanos <= timers.now();
        peer.suspectedUntilNanos = timers.now() + SUSPICION_NANOS;
        return changed;
    }

    /** Notes whether another instance leaves; true if that is news. */
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
