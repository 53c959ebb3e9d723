package org.fuchsiawharf.core.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawharf.core.stream.OriginStore;
import org.fuchsiawharf.core.stream.StreamOrigin;
import org.fuchsiawharf.core.stream.VersionHistory;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A store on virtual time that outlives the instances.
 *
 * <p>Confined to the test's thread.
 */
final class SimulatedOriginStore {
    private static final long DELAY_NANOS = 5_000_000L;

    /** The number of writes of origins. */
    int originWrites;

    private final TimerService timers;
    private final Map<Connection, Map<String, StreamOrigin>> origins = new HashMap<>();
    private final Map<String, Set<String>> versions = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private long revision = 1;

    /** The store as one instance sees it, until the instance is killed. */
    final class Connection implements OriginStore {
        private @Nullable VersionHistory history;
        private boolean cut;

        /** Passes on what the store holds, and later changes. */
        void connect(VersionHistory newHistory) {
            history = newHistory;
            connections.add(this);
            versions.keySet().forEach(this::report);
        }

        void kill() {
            history = null;
            connections.remove(this);
        }

        /** Cuts the connection, or restores it and passes on what was missed. */
        void setCut(boolean newCut) {
            cut = newCut;
            if (!cut) {
                versions.keySet().forEach(this::report);
            }
        }

        private void report(String service) {
            after(() -> {
                VersionHistory current = history;
                if (current != null && !cut) {
                    current.onStored(
                            service, versions.getOrDefault(service, Set.of()), revisions.getOrDefault(service, 0L));
                }
            });
        }

        @Override
        public void writeOrigins(Map<String, StreamOrigin> written, Consumer<Boolean> callback) {
            if (history != null && !cut) {
                originWrites++;
                after(() -> {
                    origins.put(this, written);
                    after(() -> callback.accept(true));
                });
            }
        }

        @Override
        public void readOrigins(Consumer<@Nullable Map<String, StreamOrigin>> callback) {
            if (cut) {
                return;
            }
            after(() -> {
                Map<String, StreamOrigin> all = new HashMap<>();
                origins.values().forEach(all::putAll);
                after(() -> callback.accept(all));
            });
        }

        @Override
        public void writeVersions(String service, Set<String> written, long expectedRevision) {
            if (history == null || cut) {
                return;
            }
            after(() -> {
                if (revisions.getOrDefault(service, 0L) == expectedRevision) {
                    versions.put(service, Set.copyOf(written));
                    revisions.put(service, ++revision);
                    List.copyOf(connections).forEach(connection -> connection.report(service));
                }
            });
        }
    }

    SimulatedOriginStore(TimerService timers) {
        this.timers = timers;
    }

    private void after(Runnable action) {
        timers.schedule(timers.now() + DELAY_NANOS, action);
    }
}
