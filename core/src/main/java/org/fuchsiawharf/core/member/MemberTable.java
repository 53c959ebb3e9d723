package org.fuchsiawharf.core.member;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * The live instances known to this instance.
 *
 * <p>Owners are ranked by rendezvous hashing, weighted by capacity: instances that know the same members compute the
 * same ranking without exchanging messages, and the removal of a member reassigns only the keys that the member
 * owned. This instance is always a member. Confined to the decision loop.
 */
public final class MemberTable {
    private final Member self;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, List<Member>> rankingByKey = new HashMap<>();

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
        return true;
    }

    /**
     * Ranks the members as owners of a key.
     *
     * @param key the owned key, not null
     * @return an immutable list of every member, the owner first, never null
     */
    public List<Member> rankOwners(String key) {
        return rankingByKey.computeIfAbsent(key, k -> {
            List<Member> ranking = new ArrayList<>(members.values());
            ranking.sort(Comparator.comparingDouble((Member m) -> -score(m, k)).thenComparing(Member::name));
            return List.copyOf(ranking);
        });
    }

    private static double score(Member member, String key) {
        byte[] bytes = (key + '|' + member.name()).getBytes(StandardCharsets.UTF_8);
        long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -member.capacity() / Math.log(uniform);
    }
}
