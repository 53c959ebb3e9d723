package org.fuchsiawharf.core.member;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * The live instances known to this instance.
 *
 * <p>Owners are ranked by rendezvous hashing, weighted by capacity: instances that know the same members compute the
 * same ranking without exchanging messages, and the removal of a member reassigns only the keys that the member
 * owned. A role that carries work of the whole fleet goes to members
 * that bear it. This instance is always a member.
 * Confined to the decision loop.
 */
public final class MemberTable {
    /** Exponent of the capacity as weight for a role; an instance of twice the capacity is drawn eight times as often. */
    private static final double ROLE_CAPACITY_EXPONENT = 3;

    /** Number of rankings by zone that are kept, each as large as the fleet. */
    private static final int MAX_ZONE_RANKINGS = 256;

    private final Member self;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, List<Member>> rankingByKey = new HashMap<>();
    private final Map<Role, List<Member>> rankingByRole = new HashMap<>();
    private final Map<ZoneKey, List<Member>> rankingByZone = new HashMap<>();

    private record Role(String key, String zone, double neededCapacity) {}

    private record ZoneKey(String key, String zone) {}

    /**
     * Creates a table that contains this instance only.
     *
     * @param self the member of this instance, not null
     */
    public MemberTable(Member self) {
        this.self = self;
        members.put(self.name(), self);
    }

    /**
     * Gets the member of this instance.
     *
     * @return the member, never null
     */
    public Member getSelf() {
        return self;
    }

    /**
     * Gets a member.
     *
     * @param name the member's name, not null
     * @return the member, null if no member has the name
     */
    public @Nullable Member getMember(String name) {
        return members.get(name);
    }

    /**
     * Gets every member, this instance included.
     *
     * @return a view of the members, ordered by name, never null; must not be modified
     */
    public Collection<Member> getMembers() {
        return members.values();
    }

    /**
     * Gets the number of members, this instance included.
     *
     * @return the count, at least 1
     */
    public int size() {
        return members.size();
    }

    /**
     * Replaces all members but this instance.
     *
     * @param liveMembers every live member; an entry with the name of this instance is ignored; not null
     * @return true if the table changed
     */
    public boolean replace(Collection<Member> liveMembers) {
        Map<String, Member> updated = new TreeMap<>();
        liveMembers.forEach(member -> updated.put(member.name(), member));
        updated.put(self.name(), self);
        if (updated.equals(members)) {
            return false;
        }
        members.clear();
        members.putAll(updated);
        rankingByKey.clear();
        rankingByRole.clear();
        rankingByZone.clear();
        return true;
    }

    /**
     * Ranks the members as owners of a key.
     *
     * @param key the owned key, not null
     * @return an immutable list of every member, the owner first, never null
     */
    public List<Member> rankOwners(String key) {
        return rankingByKey.computeIfAbsent(key, k -> rank(k, 1, member -> 0));
    }

    /**
     * Ranks the members as owners of a key, those of an availability zone first.
     *
     * @param key the owned key, not null
     * @param zone the preferred availability zone, not null
     * @return an immutable list of every member, the owner first, never null
     */
    public List<Member> rankOwners(String key, String zone) {
        if (rankingByZone.size() >= MAX_ZONE_RANKINGS) {
            rankingByZone.clear();
        }
        return rankingByZone.computeIfAbsent(
                new ZoneKey(key, zone), k -> rank(key, 1, member -> isIn(zone, member) ? 0 : 1));
    }

    /**
     * Ranks the members for a role whose work grows with the fleet: those of the preferred availability zone first,
     * then those that bear the role, the rest by hashing. Larger members are preferred, as they have more to spare.
     *
     * @param key the key of the role, not null
     * @param zone the preferred availability zone, empty for none, not null
     * @param neededCapacity the capacity that bears the role, at least 0
     * @return an immutable list of every member, the most suitable first, never null
     */
    public List<Member> rankByCapacity(String key, String zone, double neededCapacity) {
        return rankingByRole.computeIfAbsent(
                new Role(key, zone, neededCapacity),
                role -> rank(
                        key,
                        ROLE_CAPACITY_EXPONENT,
                        member -> (isIn(zone, member) ? 0 : 2) + (member.capacity() >= neededCapacity ? 0 : 1)));
    }

    /**
     * Counts the members that bear a role.
     *
     * @param neededCapacity the capacity that bears the role, at least 0
     * @return the count, at least 0
     */
    public int countByCapacity(double neededCapacity) {
        return (int) members.values().stream()
                .filter(member -> member.capacity() >= neededCapacity)
                .count();
    }

    private static boolean isIn(String zone, Member member) {
        return !zone.isEmpty() && member.zone().equals(zone);
    }

    private List<Member> rank(String key, double capacityExponent, ToIntFunction<Member> tierOf) {
        record Candidate(Member member, int tier, double score) {}
        return members.values().stream()
                .map(m -> new Candidate(m, tierOf.applyAsInt(m), score(m, key, capacityExponent)))
                .sorted(Comparator.comparingInt(Candidate::tier)
                        .thenComparingDouble(candidate -> -candidate.score())
                        .thenComparing(candidate -> candidate.member().name()))
                .map(Candidate::member)
                .toList();
    }

    private static double score(Member member, String key, double capacityExponent) {
        byte[] bytes = (key + '|' + member.name()).getBytes(StandardCharsets.UTF_8);
        long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -Math.pow(member.capacity(), capacityExponent) / Math.log(uniform);
    }
}
