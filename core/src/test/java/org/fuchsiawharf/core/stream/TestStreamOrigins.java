package org.fuchsiawharf.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestStreamOrigins implements OriginStore {
    private static final long MILLI = 1_000_000L;
    private static final String SERVICE = "engine";
    private static final StreamOrigin V1 = new StreamOrigin(SERVICE, "v1");
    private static final String UNKNOWN = "unknown";

    private final TimerService timers = new TimerService(0);
    private final VersionHistory history = new VersionHistory(timers, new SplittableRandom(1));
    private final StreamOrigins origins = new StreamOrigins(history, timers);
    private final List<Map<String, StreamOrigin>> writes = new ArrayList<>();
    private final List<Set<String>> versionWrites = new ArrayList<>();
    private final List<Consumer<@Nullable Map<String, StreamOrigin>>> reads = new ArrayList<>();
    private boolean storing = true;

    TestStreamOrigins() {
        origins.setStore(this);
        history.start();
    }

    @Override
    public void writeOrigins(Map<String, StreamOrigin> written, Consumer<Boolean> callback) {
        writes.add(written);
        callback.accept(storing);
    }

    @Override
    public void readOrigins(Consumer<@Nullable Map<String, StreamOrigin>> callback) {
        reads.add(callback);
    }

    @Override
    public void writeVersions(String service, Set<String> versions, long expectedRevision) {
        versionWrites.add(versions);
    }

    private void list(String... versions) {
        history.onListed(Stream.of(versions)
                .map(version -> new EndpointStatus(
                        new Endpoint("e-" + version.replace('.', '-'), SERVICE, "a", "10.0.0.1", 80),
                        false,
                        1,
                        version))
                .toList());
    }

    private void advance(long millis) {
        long end = timers.now() + millis * MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        timers.advance(end);
    }

    // Gets the versions that were found, in order.
    private List<String> find(String request) {
        List<String> found = new ArrayList<>();
        origins.find(request, List.of(SERVICE), origin -> found.add(origin == null ? UNKNOWN : origin.version()));
        return found;
    }

    // -----------------------------------------------------------------------

    @Test
    void onlyVersionIsTheOriginOfAllStreamsAndNothingIsWritten() {
        list("v1");
        history.onStored(SERVICE, Set.of("v1"), 1);
        origins.onBegun("r1", V1, false);
        advance(1_000);
        List<String> found = find("other");
        reads.get(0).accept(Map.of());
        assertThat(found, contains("v1"));
        assertThat(writes, is(empty()));
    }

    // The only version that an instance knew was used although a read of the store would have brought a second one.
    @Test
    void onlyKnownVersionIsUsedOnceAReadThatBeganLaterConfirmsIt() {
        list("v1");
        history.onStored(SERVICE, Set.of("v1"), 1);
        List<String> first = find("r1");
        List<String> second = find("r2");
        assertThat(first, is(empty()));
        list("v1", "v2");
        reads.get(0).accept(Map.of());
        assertThat(first, contains(UNKNOWN));
        assertThat(second, is(empty()));
        reads.get(1).accept(Map.of("r2", new StreamOrigin(SERVICE, "v2")));
        assertThat(second, contains("v2"));
    }

    @Test
    void onlyKnownVersionIsNotUsedWhileTheStoreIsAway() {
        list("v1");
        history.onStored(SERVICE, Set.of("v1"), 1);
        List<String> found = find("r1");
        reads.get(0).accept(null);
        assertThat(found, contains(UNKNOWN));
    }

    @Test
    void instanceThatHasNotReadTheStoreDoesNotTakeTheListedVersionForTheOnlyOne() {
        list("v2");
        assertThat(history.getSoleVersion(SERVICE), is(nullValue()));
        history.onStored(SERVICE, Set.of("v1"), 1);
        assertThat(history.getSoleVersion(SERVICE), is(nullValue()));
    }

    @Test
    void originsOfRunningStreamsAreWrittenWhenASecondVersionAppears() {
        list("v1");
        history.onStored(SERVICE, Set.of("v1"), 1);
        origins.onBegun("r1", V1, false);
        list("v1", "v2");
        advance(200);
        assertThat(writes, contains(Map.of("r1", V1)));
    }

    @Test
    void failedWriteIsRepeated() {
        list("v1", "v2");
        storing = false;
        origins.onBegun("r1", V1, false);
        advance(400);
        storing = true;
        advance(1_000);
        assertThat(writes, contains(Map.of("r1", V1), Map.of("r1", V1)));
    }

    @Test
    void originThatTheStoreDoesNotReturnInTimeStaysUnknown() {
        list("v1", "v2");
        List<String> found = find("r1");
        assertThat(found, is(empty()));
        advance(301);
        assertThat(found, contains(UNKNOWN));
        reads.get(0).accept(Map.of("r1", V1));
        assertThat(found, contains(UNKNOWN));
    }

    @Test
    void originIsReadFromTheStoreAndNotGuessed() {
        list("v1", "v2");
        List<String> known = find("r1");
        List<String> unknown = find("r2");
        reads.get(0).accept(Map.of("r1", V1));
        reads.get(1).accept(Map.of("r1", V1));
        assertThat(known, contains("v1"));
        assertThat(unknown, contains(UNKNOWN));
    }

    // After a drill of the store, instances that started later did not know the version that had left.
    @Test
    void versionsAndOriginsAreWrittenAgainAfterStoreHasLostThem() {
        list("v1", "v2");
        history.onStored(SERVICE, Set.of("v1", "v2"), 9);
        origins.onBegun("r1", V1, false);
        advance(200);
        writes.clear();
        origins.onStoreRestored();
        assertThat(history.getSoleVersion(SERVICE), is(nullValue()));
        advance(3_000);
        assertThat(writes, contains(Map.of("r1", V1)));
        assertThat(versionWrites.get(0), is(Set.of("v1", "v2")));
    }

    @Test
    void versionIsRemovedAMinuteAfterItHasLeft() {
        list("v1", "v2");
        history.onStored(SERVICE, Set.of("v1", "v2"), 1);
        for (int second = 0; second < 58; second++) {
            advance(1_000);
            list("v2");
        }
        assertThat(versionWrites, is(empty()));
        advance(5_000);
        list("v2");
        assertThat(versionWrites.get(0), is(Set.of("v2")));
    }
}
