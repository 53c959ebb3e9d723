package org.fuchsiawharf.core.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestMemberTable {
    private static Member member(int i, double capacity) {
        return new Member("m" + i, 1, "a", "10.0.0." + i, 7_000, capacity);
    }

    private static MemberTable table(int selfIndex, List<Member> all) {
        MemberTable table = new MemberTable(all.get(selfIndex));
        table.replace(all);
        return table;
    }

    private static List<Member> members(int count) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(member(i, 1));
        }
        return all;
    }

    @Test
    void ranksOwnersIdenticallyOnEveryInstance() {
        List<Member> all = members(9);
        for (String key : List.of("encode", "retrieve", "rerank")) {
            assertThat(table(0, all).rankOwners(key), is(table(8, all).rankOwners(key)));
        }
    }

    @Test
    void reassignsOnlyKeysOfRemovedMember() {
        List<Member> all = members(9);
        MemberTable before = table(0, all);
        Member removed = all.get(5);
        MemberTable after =
                table(0, all.stream().filter(m -> !m.equals(removed)).toList());
        for (int i = 0; i < 200; i++) {
            Member owner = before.rankOwners("key" + i).get(0);
            if (!owner.equals(removed)) {
                assertThat(after.rankOwners("key" + i).get(0), is(owner));
            }
        }
    }

    @Test
    void assignsMoreKeysToMembersWithGreaterCapacity() {
        List<Member> all = List.of(member(0, 0.25), member(1, 1));
        MemberTable table = table(0, all);
        Map<String, Integer> keyCounts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            keyCounts.merge(table.rankOwners("key" + i).get(0).name(), 1, Integer::sum);
        }
        assertThat(keyCounts.getOrDefault("m1", 0), is(greaterThan(3 * keyCounts.getOrDefault("m0", 0))));
    }

    @Test
    void ranksInstancesFirstThatBearTheWorkOfTheWholeFleet() {
        List<Member> all = new ArrayList<>(members(6));
        for (int i = 6; i < 77; i++) {
            all.add(member(i, 0.36));
        }
        for (int i = 0; i < 200; i++) {
            List<Member> ranked = table(70, all).rankByCapacity("key" + i, "", 0.9);
            assertThat(ranked.subList(0, 6).stream().allMatch(m -> m.capacity() == 1), is(true));
            assertThat(ranked, is(table(0, all).rankByCapacity("key" + i, "", 0.9)));
        }
    }

    @Test
    void spreadsRolesAmongAllInstancesThatBearThem() {
        List<Member> all = new ArrayList<>(List.of(member(0, 0.51)));
        for (int i = 1; i < 77; i++) {
            all.add(member(i, 0.49));
        }
        int ofLargest = 0;
        for (int i = 0; i < 1_000; i++) {
            ofLargest += table(0, all).rankByCapacity("key" + i, "", 0.4).get(0).capacity() > 0.5 ? 1 : 0;
        }
        assertThat(ofLargest, is(lessThan(50)));
    }

    @Test
    void ranksInstancesOfPreferredZoneFirst() {
        Member smallInZone = new Member("near", 1, "b", "10.0.0.9", 7_000, 0.1);
        List<Member> all = new ArrayList<>(members(3));
        all.add(smallInZone);
        assertThat(table(0, all).rankByCapacity("key", "b", 0.5).get(0), is(smallInZone));
        assertThat(table(0, all).rankByCapacity("key", "", 0.5).get(3), is(smallInZone));
        assertThat(table(0, all).countByCapacity(0.5), is(3));
    }

    @Test
    void keepsOwnInstanceWhenListOmitsIt() {
        MemberTable table = new MemberTable(member(0, 1));
        assertThat(table.replace(List.of(member(1, 1))), is(true));
        assertThat(table.size(), is(2));
        assertThat(table.replace(List.of(member(1, 1))), is(false));
        table.replace(List.of());
        assertThat(table.size(), is(1));
    }
}
