package org.fuchsiawharf.core.config;

import java.util.List;
import java.util.Map;

/**
 * The root value of the stored configuration. A change is committed by replacing the root.
 *
 * <p>The root holds both the shard hashes and the latest audit entries, so that a change and its audit entry are
 * committed atomically. Immutable and thread-safe.
 *
 * @param revision the current configuration revision
 * @param shards the content hashes by shard name
 * @param tail the latest audit entries, oldest first
 * @param olderSegment the content hash of the segment with the entries before the tail, empty if there are none
 */
record ConfigRoot(long revision, Map<String, String> shards, List<AuditEntry> tail, String olderSegment) {
    static final String KEY = "config/root";

    ConfigRoot {
        shards = Map.copyOf(shards);
        tail = List.copyOf(tail);
    }

    static String shardKey(String hash) {
        return "config/shard/" + hash;
    }

    static String segmentKey(String hash) {
        return "config/audit/" + hash;
    }

    static String planKey(String id) {
        return "config/plan/" + id;
    }

    String lastHash() {
        return tail.isEmpty() ? "" : tail.get(tail.size() - 1).hash();
    }

    /**
     * A segment of audit entries that were moved out of the root.
     *
     * @param entries the entries, oldest first
     * @param older the content hash of the previous segment, empty if there is none
     */
    record Segment(List<AuditEntry> entries, String older) {
        Segment {
            entries = List.copyOf(entries);
        }
    }
}
