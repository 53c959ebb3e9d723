package org.fuchsiawharf.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Plans changes of the configuration and commits confirmed plans.
 *
 * <p>Shards are stored under their content hash before one compare-and-swap of the root commits the change. If the
 * response to this write is lost, the audit trail is searched for the plan id. Calls block on the key-value service;
 * only immutable shards are cached, so a plan can be created at one instance and confirmed at another. Thread-safe.
 */
public final class ConfigService {
    private static final int MAX_ATTEMPTS = 12;
    private static final int MAX_TAIL_ENTRIES = 48;
    private static final int SEGMENT_ENTRIES = 24;
    private static final int MAX_CACHED_SHARDS = 256;

    private final KeyValueStore store;
    private final ConfigDocument initial;
    private final LongSupplier wallMillis;
    private final Map<String, Payload> shardCache = Collections.synchronizedMap(new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Payload> eldest) {
            return size() > MAX_CACHED_SHARDS;
        }
    });

    /**
     * Creates a service.
     *
     * @param store the key-value service, not null
     * @param initial the configuration until the first plan is confirmed, not null
     * @param wallMillis the supplier of the wall-clock time in milliseconds since 1970-01-01T00:00Z, not null
     */
    public ConfigService(KeyValueStore store, ServingConfig initial, LongSupplier wallMillis) {
        this.store = store;
        this.initial = ConfigDocument.of(initial);
        this.wallMillis = wallMillis;
    }

    /**
     * A configuration read from the key-value service.
     *
     * @param document the items of the configuration
     * @param revision the revision of the configuration, 0 before the first confirmed plan
     * @param version the version of the root in the key-value service
     */
    public record LoadedConfig(ConfigDocument document, long revision, long version) {
        /**
         * Validates every item and creates the configuration.
         *
         * @return the configuration, never null
         */
        public ServingConfig toConfig() {
            return document.toConfig(revision);
        }
    }

    /**
     * Reads the configuration.
     *
     * @return the configuration, null if the key-value service is unavailable
     */
    public @Nullable LoadedConfig load() {
        return load(store.read(ConfigRoot.KEY));
    }

    /**
     * Reads the configuration, blocking until it differs from a known configuration or the wait ends.
     *
     * @param known the configuration known to the caller, not null
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return the configuration, {@code known} if unchanged, null if the key-value service is unavailable
     */
    public @Nullable LoadedConfig watch(LoadedConfig known, long waitMillis) {
        ReadResult read = store.watch(ConfigRoot.KEY, known.version(), waitMillis);
        boolean unchanged = read.status() != ReadResult.Status.UNAVAILABLE && read.version() == known.version();
        return unchanged ? known : load(read);
    }

    private @Nullable LoadedConfig load(ReadResult read) {
        if (read.status() == ReadResult.Status.UNAVAILABLE) {
            return null;
        }
        if (!read.isFound()) {
            return new LoadedConfig(initial, 0, KeyValueStore.ABSENT);
        }
        ConfigRoot root = Json.read(read.value(), ConfigRoot.class);
        ConfigDocument document = readShards(root);
        return document == null ? null : new LoadedConfig(document, root.revision(), read.version());
    }

    private @Nullable ConfigDocument readShards(ConfigRoot root) {
        List<Payload> shards = new ArrayList<>();
        for (String hash : root.shards().values()) {
            Payload shard = readShard(hash);
            if (shard == null) {
                return null;
            }
            shards.add(shard);
        }
        return ConfigDocument.ofShards(shards);
    }

    // A value stored under its content hash never changes, so cached values need no refresh.
    private @Nullable Payload readShard(String hash) {
        Payload cached = shardCache.get(hash);
        if (cached != null) {
            return cached;
        }
        ReadResult read = store.read(ConfigRoot.shardKey(hash));
        if (!read.isFound()) {
            return null;
        }
        if (!Digests.of(read.value()).equals(hash)) {
            throw new WharfException(ErrorCode.INTERNAL, "configuration shard " + hash + " has another content");
        }
        shardCache.put(hash, read.value());
        return read.value();
    }

    // -----------------------------------------------------------------------

    /**
     * Creates and stores the plan of a change, without applying the change.
     *
     * @param intent the change, not null
     * @param requestedBy the operator that requests the change, not null
     * @param source the address that the request comes from, not null
     * @return the stored plan, never null
     * @throws WharfException if the changed configuration is malformed, or the plan can't be stored
     */
    public Plan plan(Intent intent, String requestedBy, String source) {
        LoadedConfig loaded = load();
        if (loaded == null) {
            throw storeUnavailable();
        }
        ConfigDocument changed = loaded.document().with(intent);
        ServingConfig currentConfig = loaded.toConfig();
        ServingConfig changedConfig = changed.toConfig(loaded.revision() + 1);
        List<Difference> differences = loaded.document().listDifferences(changed);
        Plan withoutId = new Plan(
                "",
                requestedBy,
                wallMillis.getAsLong(),
                source,
                loaded.revision(),
                intent,
                differences,
                PlanEffects.listEffects(currentConfig, changedConfig),
                PlanEffects.listWarnings(currentConfig, changedConfig));
        Plan plan = withoutId.withId(Digests.of(Json.write(withoutId)).substring(0, 16));
        if (!putIfAbsent(ConfigRoot.planKey(plan.id()), Json.write(plan))) {
            throw storeUnavailable();
        }
        return plan;
    }

    /**
     * Reads a plan.
     *
     * @param id the id of the plan, not null
     * @return the plan, null if no plan has the id or the key-value service is unavailable
     */
    public @Nullable Plan readPlan(String id) {
        ReadResult read = store.read(ConfigRoot.planKey(id));
        return read.isFound() ? Json.read(read.value(), Plan.class) : null;
    }

    /**
     * Applies a plan. Repeated confirmations of a plan are idempotent.
     *
     * @param planId the id of the plan, not null
     * @param confirmedBy the operator that confirms the plan, not null
     * @param source the address that the confirmation comes from, not null
     * @return the result of the confirmation, never null
     */
    public ConfirmResult confirm(String planId, String confirmedBy, String source) {
        ReadResult read = store.read(ConfigRoot.planKey(planId));
        if (read.status() == ReadResult.Status.UNAVAILABLE) {
            return new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "the key-value service can't be reached");
        }
        if (!read.isFound()) {
            return new ConfirmResult(ConfirmResult.Status.NO_PLAN, 0, "plan \"" + planId + "\" does not exist");
        }
        Plan plan = Json.read(read.value(), Plan.class);
        boolean mayBeWritten = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Attempt attempt = tryConfirm(plan, confirmedBy, source);
            if (attempt.result() != null) {
                boolean definite = attempt.result().status() != ConfirmResult.Status.UNAVAILABLE || !mayBeWritten;
                return definite ? attempt.result() : unknownResult();
            }
            mayBeWritten |= attempt.mayBeWritten();
        }
        return mayBeWritten
                ? unknownResult()
                : new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "too many others confirm at once");
    }

    private static ConfirmResult unknownResult() {
        return new ConfirmResult(
                ConfirmResult.Status.UNKNOWN, 0, "the answer to the write was lost; confirm again to learn more");
    }

    /**
     * The result of one attempt to confirm a plan.
     *
     * @param result the result of the confirmation, null if another attempt is needed
     * @param mayBeWritten whether the response to the write was lost
     */
    private record Attempt(@Nullable ConfirmResult result, boolean mayBeWritten) {}

    private Attempt tryConfirm(Plan plan, String confirmedBy, String source) {
        try {
            return confirmOnce(plan, confirmedBy, source);
        } catch (WharfException e) {
            if (e.getCode() != ErrorCode.STORE_UNAVAILABLE) {
                throw e;
            }
            return new Attempt(
                    new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, String.valueOf(e.getMessage())), false);
        }
    }

    private Attempt confirmOnce(Plan plan, String confirmedBy, String source) {
        ReadResult read = store.read(ConfigRoot.KEY);
        LoadedConfig loaded = load(read);
        if (loaded == null) {
            return new Attempt(
                    new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "the key-value service can't be reached"),
                    false);
        }
        ConfigRoot root =
                read.isFound() ? Json.read(read.value(), ConfigRoot.class) : new ConfigRoot(0, Map.of(), List.of(), "");
        AuditEntry confirmed = findAuditEntry(root, plan);
        if (confirmed != null) {
            String detail = "confirmed as revision " + confirmed.revision();
            return new Attempt(new ConfirmResult(ConfirmResult.Status.CONFIRMED, confirmed.revision(), detail), false);
        }
        String conflict = findConflict(plan, loaded, root);
        if (conflict != null) {
            return new Attempt(new ConfirmResult(ConfirmResult.Status.CONFLICT, 0, conflict), false);
        }
        return commit(plan, confirmedBy, source, loaded, root);
    }

    // Segments up to the plan's base revision are skipped: the plan's confirmation always has a later revision.
    private @Nullable AuditEntry findAuditEntry(ConfigRoot root, Plan plan) {
        AuditEntry found = findByPlan(root.tail(), plan.id());
        String hash = root.olderSegment();
        long oldest = root.tail().isEmpty() ? 0 : root.tail().get(0).revision();
        while (found == null && !hash.isEmpty() && oldest > plan.baseRevision() + 1) {
            ConfigRoot.Segment segment = readSegment(hash);
            found = findByPlan(segment.entries(), plan.id());
            oldest = segment.entries().get(0).revision();
            hash = segment.older();
        }
        return found;
    }

    private static @Nullable AuditEntry findByPlan(List<AuditEntry> entries, String planId) {
        for (AuditEntry entry : entries) {
            if (entry.planId().equals(planId)) {
                return entry;
            }
        }
        return null;
    }

    private static @Nullable String findConflict(Plan plan, LoadedConfig loaded, ConfigRoot root) {
        for (Difference difference : plan.differences()) {
            JsonNode item = loaded.document().items().get(difference.item());
            JsonNode current = item == null ? NullNode.getInstance() : item;
            if (!current.equals(difference.before())) {
                return describeConflict(difference, plan, root);
            }
        }
        return null;
    }

    private static String describeConflict(Difference difference, Plan plan, ConfigRoot root) {
        for (int i = root.tail().size() - 1; i >= 0; i--) {
            AuditEntry entry = root.tail().get(i);
            if (entry.revision() > plan.baseRevision() && entry.items().contains(difference.item())) {
                return "item \"" + difference.item() + "\" was changed by " + entry.who() + " in revision "
                        + entry.revision() + ", plan " + entry.planId();
            }
        }
        return "item \"" + difference.item() + "\" is not as it was when the plan was made";
    }

    private Attempt commit(Plan plan, String confirmedBy, String source, LoadedConfig loaded, ConfigRoot root) {
        ConfigDocument changed = loaded.document().with(plan.intent());
        Map<String, String> hashes = new TreeMap<>();
        for (Map.Entry<String, Payload> shard : changed.toShards().entrySet()) {
            String hash = Digests.of(shard.getValue());
            hashes.put(shard.getKey(), hash);
            if (!hash.equals(root.shards().get(shard.getKey()))
                    && !putIfAbsent(ConfigRoot.shardKey(hash), shard.getValue())) {
                return new Attempt(
                        new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "a shard can't be stored"), false);
            }
        }
        ConfigRoot next = createNextRoot(plan, confirmedBy, source, hashes, root);
        if (next == null) {
            return new Attempt(
                    new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "an audit segment can't be stored"), false);
        }
        WriteResult writeResult = store.compareAndSet(ConfigRoot.KEY, loaded.version(), Json.write(next));
        return switch (writeResult) {
            case DONE ->
                new Attempt(
                        new ConfirmResult(
                                ConfirmResult.Status.CONFIRMED,
                                next.revision(),
                                "confirmed as revision " + next.revision()),
                        false);
            case CONFLICT -> new Attempt(null, false);
            case UNKNOWN -> new Attempt(null, true);
            case UNAVAILABLE ->
                new Attempt(new ConfirmResult(ConfirmResult.Status.UNAVAILABLE, 0, "the root can't be written"), false);
        };
    }

    private @Nullable ConfigRoot createNextRoot(
            Plan plan, String confirmedBy, String source, Map<String, String> hashes, ConfigRoot root) {
        List<AuditEntry> tail = new ArrayList<>(root.tail());
        String older = root.olderSegment();
        if (tail.size() >= MAX_TAIL_ENTRIES) {
            Payload segment = Json.write(new ConfigRoot.Segment(tail.subList(0, SEGMENT_ENTRIES), root.olderSegment()));
            older = Digests.of(segment);
            if (!putIfAbsent(ConfigRoot.segmentKey(older), segment)) {
                return null;
            }
            tail = new ArrayList<>(tail.subList(SEGMENT_ENTRIES, tail.size()));
        }
        AuditEntry entry = new AuditEntry(
                root.revision() + 1,
                plan.id(),
                plan.who(),
                confirmedBy,
                wallMillis.getAsLong(),
                source,
                plan.baseRevision(),
                plan.differences().stream().map(Difference::item).toList(),
                root.lastHash(),
                "");
        tail.add(entry.withHash(entry.computeHash()));
        return new ConfigRoot(root.revision() + 1, hashes, tail, older);
    }

    // A conflict counts as success: the key derives from the content hash, so the stored value is equal.
    private boolean putIfAbsent(String key, Payload value) {
        WriteResult writeResult = WriteResult.UNKNOWN;
        for (int i = 0; i < MAX_ATTEMPTS && writeResult == WriteResult.UNKNOWN; i++) {
            writeResult = store.compareAndSet(key, KeyValueStore.ABSENT, value);
        }
        return writeResult == WriteResult.DONE || writeResult == WriteResult.CONFLICT;
    }

    // -----------------------------------------------------------------------

    /**
     * Reads the latest entries of the audit trail.
     *
     * @param max the maximum number of entries
     * @return the entries, newest first, never null
     * @throws WharfException if the key-value service is unavailable
     */
    public List<AuditEntry> listAuditEntries(int max) {
        ReadResult read = store.read(ConfigRoot.KEY);
        if (read.status() == ReadResult.Status.UNAVAILABLE) {
            throw storeUnavailable();
        }
        if (!read.isFound()) {
            return List.of();
        }
        ConfigRoot root = Json.read(read.value(), ConfigRoot.class);
        List<AuditEntry> entries = new ArrayList<>(root.tail());
        Collections.reverse(entries);
        if (entries.size() < max) {
            entries.addAll(readSegments(root.olderSegment(), max - entries.size()));
        }
        return entries.subList(0, Math.min(max, entries.size()));
    }

    private List<AuditEntry> readSegments(String newest, int max) {
        List<AuditEntry> entries = new ArrayList<>();
        String hash = newest;
        while (!hash.isEmpty() && entries.size() < max) {
            ConfigRoot.Segment segment = readSegment(hash);
            for (int i = segment.entries().size() - 1; i >= 0; i--) {
                entries.add(segment.entries().get(i));
            }
            hash = segment.older();
        }
        return entries;
    }

    private ConfigRoot.Segment readSegment(String hash) {
        ReadResult read = store.read(ConfigRoot.segmentKey(hash));
        if (!read.isFound()) {
            throw storeUnavailable();
        }
        return Json.read(read.value(), ConfigRoot.Segment.class);
    }

    /**
     * Checks the chain of hashes of consecutive audit entries.
     *
     * @param newestFirst the entries, newest first, not null
     * @return true if no listed entry was modified and none between two listed entries was removed
     */
    public static boolean isIntact(List<AuditEntry> newestFirst) {
        for (int i = 0; i < newestFirst.size(); i++) {
            AuditEntry entry = newestFirst.get(i);
            boolean linked = i + 1 == newestFirst.size()
                    || entry.previousHash().equals(newestFirst.get(i + 1).hash());
            if (!entry.hash().equals(entry.computeHash()) || !linked) {
                return false;
            }
        }
        return true;
    }

    private static WharfException storeUnavailable() {
        return new WharfException(ErrorCode.STORE_UNAVAILABLE, "the key-value service can't be reached");
    }
}
