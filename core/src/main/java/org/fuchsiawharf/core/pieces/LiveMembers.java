package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Decides which instances are members: those that the store lists, and those that it no longer lists but that are
 * heard.
 *
 * <p>The end of a lease shows that an instance did not reach the store, not that it is down. An instance therefore
 * stays a member after its lease has ended as long as its connection is open, its heartbeats arrive and it does not
 * leave.
 *
 * <p>Confined to the decision loop.
 */
final class LiveMembers {
    private final MemberTable members;
    private final PeerPort peers;
    private final OwnerSelector owners;
    private final TimerService timers;
    private List<Member> listed = List.of();
    private boolean retaining;

    LiveMembers(MemberTable members, PeerPort peers, OwnerSelector owners, TimerService timers) {
        this.members = members;
        this.peers = peers;
        this.owners = owners;
        this.timers = timers;
    }

    /** Applies a list of the store; returns true if the members changed. */
    boolean setListed(Collection<Member> listedMembers) {
        listed = List.copyOf(listedMembers);
        return update();
    }

    /** Removes the members that are neither listed nor heard any more; returns true if the members changed. */
    boolean removeSilent() {
        return retaining && update();
    }

    private boolean update() {
        Set<String> names = new HashSet<>();
        listed.forEach(member -> names.add(member.name()));
        List<Member> live = new ArrayList<>(listed);
        for (Member member : members.getMembers()) {
            if (!names.contains(member.name()) && !member.equals(members.getSelf()) && isHeard(member.name())) {
                live.add(member);
            }
        }
        retaining = live.size() > listed.size();
        return members.replace(live);
    }

    private boolean isHeard(String name) {
        long silenceNanos = timers.now() - owners.getLastReceivedNanos(name);
        return peers.isConnected(name)
                && !owners.isLeaving(name)
                && silenceNanos <= PeerHeartbeats.LIVENESS_BOUND_NANOS;
    }
}
