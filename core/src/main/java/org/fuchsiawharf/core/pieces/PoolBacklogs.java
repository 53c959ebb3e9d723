package org.fuchsiawharf.core.pieces;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The backlogs of all pools as this instance knows them: exactly for the pools that it owns, as last reported for those
 * of other owners.
 *
 * <p>Confined to the decision loop.
 */
final class PoolBacklogs {
    private final MemberTable members;
    private final OwnerSelector owners;
    private final Map<PoolKey, FleetStagePool> ownPools;
    private final TimerService timers;
    private final Map<PoolKey, ReportedBacklog> reports = new HashMap<>();

    /** Creates backlogs without reports; the map of the pools that run on this instance is read, never changed. */
    PoolBacklogs(
            MemberTable members, OwnerSelector owners, Map<PoolKey, FleetStagePool> ownPools, TimerService timers) {
        this.members = members;
        this.owners = owners;
        this.ownPools = ownPools;
        this.timers = timers;
    }

    /** Applies the backlogs that another instance reported; those of pools of which it is not the owner are ignored. */
    void onReported(String from, Map<PoolKey, StageBacklog> backlogs) {
        backlogs.forEach((pool, backlog) -> {
            if (owners.isPreferred(pool, from)) {
                report(pool).set(backlog, timers.now());
            }
        });
    }

    /** Adds submitted pieces to the last report of a pool. */
    void onSubmitted(PoolKey pool, List<PieceOrder> orders) {
        report(pool).onSubmitted(orders);
    }

    /** Gets the backlog of a pool, including the pieces submitted since the last report of its owner. */
    StageBacklog get(PoolKey pool) {
        FleetStagePool ownPool = isOwned(pool) ? ownPools.get(pool) : null;
        return ownPool == null ? report(pool).get() : ownPool.getBacklog();
    }

    /** Gets the backlogs of those of the given pools that run on this instance. */
    Map<PoolKey, StageBacklog> getOwn(List<PoolKey> pools) {
        Map<PoolKey, StageBacklog> own = new HashMap<>();
        for (PoolKey key : pools) {
            FleetStagePool pool = ownPools.get(key);
            if (pool != null) {
                own.put(key, pool.getBacklog());
            }
        }
        return own;
    }

    /** Checks whether a pool is known to have no endpoint that can be used. */
    boolean isWithoutEndpoints(PoolKey pool) {
        return get(pool).endpoints() == 0 && (isOwned(pool) || report(pool).isReported());
    }

    /** Gets the age of the last report in nanoseconds, 0 if this instance owns the pool. */
    long getStalenessNanos(PoolKey pool) {
        return isOwned(pool) ? 0 : timers.now() - report(pool).getReportedAtNanos();
    }

    private boolean isOwned(PoolKey pool) {
        Member self = members.getSelf();
        return owners.isPreferred(pool, self.name());
    }

    private ReportedBacklog report(PoolKey pool) {
        return reports.computeIfAbsent(pool, p -> new ReportedBacklog());
    }
}
