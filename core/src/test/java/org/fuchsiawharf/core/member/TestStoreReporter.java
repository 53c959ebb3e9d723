package org.fuchsiawharf.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StoreCopy;
import org.fuchsiawharf.core.store.StoreItem;
import org.fuchsiawharf.core.store.StorePosition;
import org.fuchsiawharf.core.store.WatchDuty;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestStoreReporter {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final String FOLLOWER = "follower";
    private static final int LARGE_BYTES = 20_000;
    private static final int SMALL_BYTES = 100;

    private final TimerService timers = new TimerService(0);
    private final StoreCopy copy = new StoreCopy();
    private final List<PeerMessage> sent = new ArrayList<>();
    private boolean connectionFull;
    private final StoreReporter reporter =
            new StoreReporter(new RecordingPort(), copy, new WatchDuty(() -> true, timers), timers);

    TestStoreReporter() {
        copy.replace(List.of(), new StorePosition(1, 10), false);
    }

    private final class RecordingPort implements PeerPort {
        @Override
        public void setDesiredPeers(Collection<Member> peers) {}

        @Override
        public boolean send(String peer, PeerMessage message) {
            return !connectionFull && sent.add(message);
        }

        @Override
        public void reconnect(String peer) {}

        @Override
        public Collection<String> getConnectedPeers() {
            return List.of(FOLLOWER);
        }

        @Override
        public boolean isConnected(String peer) {
            return true;
        }
    }

    private void ask(long revision, @Nullable Long sentNanos) {
        reporter.onRequest(FOLLOWER, new PeerMessage.AskState(new StorePosition(1, revision), true, sentNanos));
    }

    private void respond(String key, int bytes) {
        StorePosition after = copy.getPosition();
        long revision = after.revision() + 1;
        copy.apply(after, revision, List.of(new StoreItem(key, revision, new byte[bytes])));
        reporter.onResponse(false);
    }

    private PeerMessage.StoreChanges lastReport() {
        assertThat(sent.get(sent.size() - 1), is(instanceOf(PeerMessage.StoreChanges.class)));
        return (PeerMessage.StoreChanges) sent.get(sent.size() - 1);
    }

    private void advanceMillis(long millis) {
        timers.advance(timers.now() + millis * MILLI_NANOS);
    }

    // -----------------------------------------------------------------------

    @Test
    void changesWaitForConfirmationAndAreReportedTogether() {
        ask(10, 0L);
        respond("config", LARGE_BYTES);
        assertThat(lastReport().replyWanted(), is(true));
        respond("config", LARGE_BYTES);
        respond("other", SMALL_BYTES);
        respond("config", LARGE_BYTES);
        assertThat(sent, hasSize(1));
        ask(11, 0L);
        assertThat(sent, hasSize(2));
        assertThat(lastReport().after().revision(), is(11L));
        assertThat(lastReport().revision(), is(14L));
        assertThat(lastReport().changes().stream().map(StoreItem::revision).toList(), is(List.of(13L, 14L)));
    }

    // A request that was sent before a report arrived was answered with all of the report's changes once more.
    @Test
    void requestIsNotAnsweredWithChangesOnTheirWay() {
        ask(10, 0L);
        respond("a", SMALL_BYTES);
        advanceMillis(300);
        ask(10, 0L);
        assertThat(sent, hasSize(1));
    }

    @Test
    void lostReportIsSentAgain() {
        ask(10, 0L);
        respond("a", SMALL_BYTES);
        advanceMillis(500);
        respond("b", SMALL_BYTES);
        advanceMillis(600);
        ask(10, 0L);
        assertThat(lastReport().after().revision(), is(10L));
        assertThat(lastReport().changes(), hasSize(2));
    }

    @Test
    void lostConfirmationDelaysReportsForBoundedTime() {
        ask(10, 0L);
        respond("a", LARGE_BYTES);
        advanceMillis(900);
        respond("b", SMALL_BYTES);
        assertThat(sent, hasSize(1));
        advanceMillis(200);
        respond("c", SMALL_BYTES);
        assertThat(lastReport().after().revision(), is(10L));
        assertThat(lastReport().changes(), hasSize(3));
    }

    @Test
    void changesThatFullConnectionRefusesAreInNextReport() {
        ask(10, 0L);
        connectionFull = true;
        respond("a", SMALL_BYTES);
        connectionFull = false;
        respond("b", SMALL_BYTES);
        assertThat(lastReport().after().revision(), is(10L));
        assertThat(lastReport().changes(), hasSize(2));
    }

    @Test
    void responseWithoutChangesIsReported() {
        ask(10, 5L);
        advanceMillis(100);
        reporter.onResponse(false);
        assertThat(lastReport().changes(), is(empty()));
        assertThat(lastReport().catchUp(), is(false));
        advanceMillis(50);
        RequestEcho echo = Objects.requireNonNull(lastReport().echo());
        assertThat(echo.getAgeNanos(timers.now() + 5), is(50 * MILLI_NANOS));
    }

    // Instances of earlier versions do not answer a report that wants a reply, and do not know its age.
    @Test
    void followerOfEarlierVersionIsSentEachReport() {
        ask(10, null);
        for (int i = 0; i < 5; i++) {
            respond("config", LARGE_BYTES);
        }
        assertThat(sent, hasSize(5));
        assertThat(lastReport().replyWanted(), is(false));
        assertThat(lastReport().echo(), is(nullValue()));
        assertThat(lastReport().catchUp(), is(false));
        advanceMillis(2_000);
        ask(10, null);
        assertThat(lastReport().catchUp(), is(true));
    }

    @Test
    void followerOfUnknownPositionIsSentTheState() {
        reporter.onRequest(FOLLOWER, new PeerMessage.AskState(StorePosition.UNKNOWN, true, 0L));
        assertThat(sent.get(0), is(instanceOf(PeerMessage.PassEntries.class)));
    }
}
