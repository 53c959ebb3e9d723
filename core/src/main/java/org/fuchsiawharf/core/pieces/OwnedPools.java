package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.member.MemberTable;

/**
 * The pools for which this instance ranks first; logs each change.
 *
 * <p>Confined to the decision loop.
 */
final class OwnedPools {
    private final DecisionLog log;
    private List<PoolKey> pools = List.of();

    OwnedPools(DecisionLog log) {
        this.log = log;
    }

    List<PoolKey> get() {
        return pools;
    }

    void update(List<PoolKey> owned, MemberTable members) {
        if (!owned.equals(pools)) {
            log.write(
                    "pools.owned",
                    "pools",
                    owned.toString(),
                    "capacity",
                    members.getSelf().capacity(),
                    "members",
                    members.size());
            pools = List.copyOf(owned);
        }
    }
}
