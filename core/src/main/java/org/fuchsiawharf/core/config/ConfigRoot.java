package org.fuchsiawharf.core.config;

import java.util.List;
import java.util.Map;

/**
 * The one value whose replacement makes a change take effect.
 *
 * <p>Change and audit entry are in it together. Immutable and thread-safe.
 *
 * @param revision the revision in force
 * @param shards the content hash of each shard
 * @param tail the latest audit entries, oldest first
 * @param olderSegment the content hash of the segment with the entries before, empty if there are none
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
     * Older audit entries.
     *
     * @param entries the entries, oldest first
     * @param older the content hash of the segment before, empty if there is none
     */
    record Segment(List<AuditEntry> entries, String older) {
        Segment {
            entries = List.copyOf(entries);
        }
    }
}
