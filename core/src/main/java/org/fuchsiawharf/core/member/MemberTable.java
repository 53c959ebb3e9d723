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
 * The live instances, as this one knows them.
 *
 * <p>Owners are ranked by rendezvous hashing, weighted by capacity: all instances that know the same members rank
 * them alike without a message, and a member that goes moves only what it owned. This instance is always a
 * member. Confined to the decision loop.
 */
public final class MemberTable {
    private final Member self;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, List<Member>> ranked = new HashMap<>();

    /**
     * Creates a table of this instance alone.
     *
     * @param self this instance, not null
     */
    public MemberTable(Member self) {
        this.self = self;
        members.put(self.name(), self);
    }

    /**
     * Gets this instance.
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
     * @return the member, null if none has the name
     */
    public @Nullable Member getMember(String name) {
        return members.get(name);
    }

    /**
     * Gets every member.
     *
     * @return the members by name, never null, not to be changed
     */
    public Collection<Member> getMembers() {
        return members.values();
    }

    /**
     * Counts the members, this instance included.
     *
     * @return the count, at least 1
     */
    public int size() {
        return members.size();
    }

    /**
     * Replaces the other members.
     *
     * @param live every live member; an entry of this instance's name is ignored; not null
     * @return whether anything changed
     */
    public boolean replace(Collection<Member> live) {
        Map<String, Member> next = new TreeMap<>();
        live.forEach(member -> next.put(member.name(), member));
        next.put(self.name(), self);
        if (next.equals(members)) {
            return false;
        }
        members.clear();
        members.putAll(next);
        ranked.clear();
        return true;
    }

    /**
     * Ranks the members as owners of a key.
     *
     * @param key what is owned, not null
     * @return every member, the first owner first, never null, not to be changed
     */
    public List<Member> rankOwners(String key) {
        return ranked.computeIfAbsent(key, k -> {
            List<Member> list = new ArrayList<>(members.values());
            list.sort(Comparator.comparingDouble((Member m) -> -score(m, k)).thenComparing(Member::name));
            return List.copyOf(list);
        });
    }

    private static double score(Member member, String key) {
        byte[] bytes = (key + '|' + member.name()).getBytes(StandardCharsets.UTF_8);
        long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -member.capacity() / Math.log(uniform);
    }
}
