package org.fuchsiawharf.core.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class TestWatcherSelector {
    private static final int ZONES = 5;

    private static List<Member> fleet(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new Member("m" + i, 1, "zone-" + i % ZONES, "h", 1, i % 7 == 0 ? 1.5 : 0.36));
        }
        return members;
    }

    private static List<Member> watchersSeenBy(Member self, List<Member> fleet) {
        MemberTable members = new MemberTable(self);
        members.replace(fleet);
        return new WatcherSelector(members).getWatchers();
    }

    // Every instance polled the store, so that polls and their processor time grew with the fleet.
    @Test
    void countOfWatchersDoesNotGrowWithFleet() {
        for (int size : List.of(30, 95, 300)) {
            List<Member> fleet = fleet(size);
            Set<Member> watchers = new HashSet<>();
            for (Member self : fleet) {
                List<Member> selected = watchersSeenBy(self, fleet);
                assertThat(selected.stream().map(Member::zone).distinct().toList(), is(List.of(self.zone())));
                watchers.addAll(selected);
            }
            assertThat(watchers, hasSize(2 * ZONES));
        }
    }

    @Test
    void anotherInstanceTakesOverFromWatcherThatIsNoMember() {
        List<Member> fleet = fleet(30);
        Member self = fleet.get(0);
        List<Member> before = watchersSeenBy(self, fleet);
        fleet.remove(before.get(0).equals(self) ? before.get(1) : before.get(0));
        List<Member> after = watchersSeenBy(self, fleet);
        assertThat(after, hasSize(2));
        assertThat(after, is(not(before)));
    }

    @Test
    void instanceThatIsAloneInItsZoneWatches() {
        Member self = new Member("m", 1, "z", "h", 1, 1);
        assertThat(watchersSeenBy(self, fleet(30)), is(List.of(self)));
    }
}
