package org.fuchsiawharf.core.store;

import java.util.Map;

import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestLeasedEntries {
    private static final long GRACE_NANOS = 2_000;

    private final TimerService timers = new TimerService(0);
    private int changeCount;
    private final LeasedEntries<String> entries = new LeasedEntries<>(timers, GRACE_NANOS, () -> changeCount++);

    @Test
    void appliesRemovalAtOnce() {
        entries.put("a", "1");
        entries.remove("a");
        assertThat(entries.getEntries(), is(Map.of()));
        assertThat(changeCount, is(2));
    }

    @Test
    void keepsEntryThatExpiredInOutageForGracePeriod() {
        entries.put("a", "1");
        entries.replaceAll(Map.of(), true);
        timers.advance(GRACE_NANOS - 1);
        assertThat(entries.getEntries(), is(Map.of("a", "1")));
        timers.advance(GRACE_NANOS);
        assertThat(entries.getEntries(), is(Map.of()));
    }

    @Test
    void keepsEntryRenewedInGracePeriod() {
        entries.put("a", "1");
        entries.replaceAll(Map.of(), true);
        entries.put("a", "1");
        timers.advance(10 * GRACE_NANOS);
        assertThat(entries.getEntries(), is(Map.of("a", "1")));
    }

    @Test
    void removesMissingEntriesAtOnceWithoutOutage() {
        entries.put("a", "1");
        entries.replaceAll(Map.of("b", "2"), false);
        assertThat(entries.getEntries(), is(Map.of("b", "2")));
    }

    @Test
    void startsGracePeriodForMissingEntry() {
        entries.put("a", "1");
        entries.startGracePeriod("a");
        assertThat(entries.getGracePeriodCount(), is(1));
        assertThat(entries.getEntries(), is(Map.of("a", "1")));
        timers.advance(GRACE_NANOS);
        assertThat(entries.getEntries(), is(Map.of()));
    }

    @Test
    void reportsNoChangeForEqualEntries() {
        entries.put("a", "1");
        entries.put("a", "1");
        entries.replaceAll(Map.of("a", "1"), true);
        assertThat(changeCount, is(1));
    }
}
