package org.fuchsiawharf.core.store;

import java.util.List;
import java.util.Objects;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestStoreCopy {
    private static final long ERA = 3;

    private final StoreCopy copy = new StoreCopy();

    TestStoreCopy() {
        copy.replace(List.of(item("a", 5), item("b", 7)), at(10), false);
    }

    private static StorePosition at(long revision) {
        return new StorePosition(ERA, revision);
    }

    private static StoreItem item(String key, long revision) {
        return new StoreItem(key, revision, new byte[] {1});
    }

    private static StoreItem removal(String key, long revision) {
        return new StoreItem(key, revision, null);
    }

    @Test
    void appliesEachChangeOnceWhenTwoSourcesReportIt() {
        StoreItem removed = removal("a", 11);
        StoreItem written = item("a", 12);
        assertThat(copy.apply(at(10), 12, List.of(removed, written)), is(List.of(removed, written)));
        assertThat(copy.apply(at(10), 11, List.of(removed)), is(List.of()));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("a", "b"));
        assertThat(copy.getPosition().revision(), is(12L));
    }

    @Test
    void appliesNothingAfterGap() {
        assertThat(copy.apply(at(11), 12, List.of(item("c", 12))), is(nullValue()));
        assertThat(copy.getPosition().revision(), is(10L));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("a", "b"));
    }

    // A listing that was overtaken by reported changes brought removed items back.
    @Test
    void keepsLaterCopyWhenListingIsOlder() {
        copy.apply(at(10), 11, List.of(removal("a", 11)));
        assertThat(copy.replace(List.of(item("a", 5), item("b", 7)), at(10), false), is(false));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("b"));
    }

    @Test
    void takesOlderListingWhenHistoryIsLost() {
        assertThat(copy.replace(List.of(item("b", 3)), at(4), true), is(true));
        assertThat(copy.getPosition().revision(), is(4L));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("b"));
    }

    // After a drill of the store, all changes up to the revision before the drill were dropped.
    @Test
    void listingOfLaterEraReplacesCopyOfHigherRevision() {
        StorePosition restored = new StorePosition(ERA + 1, 4);
        assertThat(copy.replace(List.of(item("b", 3)), restored, false), is(true));
        assertThat(copy.getPosition(), is(restored));
        StoreItem written = item("c", 5);
        assertThat(copy.apply(restored, 5, List.of(written)), is(List.of(written)));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("b", "c"));
    }

    // Revisions are given out again after a drill, so that equal ones of two eras name different changes.
    @Test
    void appliesNothingOfAnotherEra() {
        for (long era : List.of(ERA - 1, ERA + 1)) {
            assertThat(copy.apply(new StorePosition(era, 10), 12, List.of(item("c", 12))), is(nullValue()));
            assertThat(copy.getChangesSince(new StorePosition(era, 10)), is(nullValue()));
        }
        assertThat(copy.replace(List.of(), new StorePosition(ERA - 1, 99), true), is(false));
        assertThat(copy.getPosition(), is(at(10)));
    }

    @Test
    void knowsChangesSinceListingOnly() {
        StoreItem last = item("d", 13);
        copy.apply(at(10), 13, List.of(item("c", 12), last));
        assertThat(copy.getChangesSince(at(12)), is(List.of(last)));
        assertThat(copy.getChangesSince(at(9)), is(nullValue()));
        assertThat(new StoreCopy().getChangesSince(at(-1)), is(nullValue()));
    }

    @Test
    void givesLatestChangeOfEachItem() {
        StoreItem removed = removal("c", 13);
        StoreItem written = item("d", 14);
        copy.apply(at(10), 14, List.of(item("d", 11), item("c", 12), removed, written));
        assertThat(copy.getChangesSince(at(10)), is(List.of(removed, written)));
    }

    // Each follower was sent the whole copy after a watcher had listed the store again.
    @Test
    void knowsDifferencesOfLaterListing() {
        assertThat(copy.replace(List.of(item("a", 5), item("c", 14)), at(15), true), is(true));
        List<StoreItem> differences = Objects.requireNonNull(copy.getChangesSince(at(10)));
        StoreCopy follower = new StoreCopy();
        follower.replace(List.of(item("a", 5), item("b", 7)), at(10), false);
        assertThat(follower.apply(at(10), 15, differences), hasSize(2));
        assertThat(follower.getValues().keySet(), containsInAnyOrder("a", "c"));
        assertThat(follower.getPosition(), is(at(15)));
    }

    @Test
    void forgetsOldestChanges() {
        for (int i = 0; i < 600; i++) {
            copy.apply(at(10 + i), 11 + i, List.of(item("c" + i, 11 + i)));
        }
        assertThat(copy.getChangesSince(at(10)), is(nullValue()));
        assertThat(copy.getChangesSince(at(600)), hasSize(10));
    }
}
