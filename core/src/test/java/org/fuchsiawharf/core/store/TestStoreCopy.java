package org.fuchsiawharf.core.store;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestStoreCopy {
    private final StoreCopy copy = new StoreCopy();

    TestStoreCopy() {
        copy.replace(List.of(item("a", 5), item("b", 7)), 10, false);
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
        assertThat(copy.apply(10, 12, List.of(removed, written)), is(List.of(removed, written)));
        assertThat(copy.apply(10, 11, List.of(removed)), is(List.of()));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("a", "b"));
        assertThat(copy.getRevision(), is(12L));
    }

    @Test
    void appliesNothingAfterGap() {
        assertThat(copy.apply(11, 12, List.of(item("c", 12))), is(nullValue()));
        assertThat(copy.getRevision(), is(10L));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("a", "b"));
    }

    // A listing that was overtaken by reported changes brought removed items back.
    @Test
    void keepsLaterCopyWhenListingIsOlder() {
        copy.apply(10, 11, List.of(removal("a", 11)));
        assertThat(copy.replace(List.of(item("a", 5), item("b", 7)), 10, false), is(false));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("b"));
    }

    @Test
    void takesOlderListingWhenHistoryIsLost() {
        assertThat(copy.replace(List.of(item("b", 3)), 4, true), is(true));
        assertThat(copy.getRevision(), is(4L));
        assertThat(copy.getValues().keySet(), containsInAnyOrder("b"));
    }

    @Test
    void knowsChangesSinceListingOnly() {
        StoreItem last = item("d", 13);
        copy.apply(10, 13, List.of(item("c", 12), last));
        assertThat(copy.getChangesSince(12), is(List.of(last)));
        assertThat(copy.getChangesSince(9), is(nullValue()));
        assertThat(new StoreCopy().getChangesSince(-1), is(nullValue()));
    }

    @Test
    void forgetsOldestChanges() {
        for (int i = 0; i < 600; i++) {
            copy.apply(10 + i, 11 + i, List.of(item("c", 11 + i)));
        }
        assertThat(copy.getChangesSince(10), is(nullValue()));
        assertThat(copy.getChangesSince(600), hasSize(10));
    }
}
