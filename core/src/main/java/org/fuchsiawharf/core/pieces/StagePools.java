package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Routes pieces to a pool of their service, on the instance that owns the pool: this one or another.
 *
 * <p>Each pool has one owner among the live instances, chosen by capacity and hashing alone; ownership is a hint and
 * never exclusive. If the owner is silent, withdraws pieces, is not connected or its connection is full, they are sent
 * to another pool of the service or, if there is none, to the owner within the own availability zone, since a
 * partition between zones is the likely cause, and then to the pool of this instance. A piece can therefore be produced
 * twice; the first result is used.
 *
 * <p>Confined to the decision loop.
 */
public final class StagePools {
    private final MemberTable members;
    private final PeerPort peers;
    private final PoolContext context;
    private final TimerService timers;
    private final DecisionLog log;
    private final Map<PoolKey, FleetStagePool> pools = new HashMap<>();
    private final OutstandingPieces outstanding = new OutstandingPieces();
    private final ResultOwners resultOwners;
    private final OwnerSelector owners;
    private final LiveMembers liveMembers;
    private final PoolLayout layout;
    private final PoolBacklogs backlogs;
    private final PoolSelector selector;
    private final PeerHeartbeats heartbeats = new PeerHeartbeats();
    private final OwnedPools ownedPools;
    private final ResultOutbox resultOutbox;
    private final RefusedPieces refusedPieces;
    private boolean leaving;

    /**
     * Creates stage pools without services.
     *
     * @param members the live instances, not null
     * @param peers sends messages to other instances, not null
     * @param context the components that the pools share, not null
     */
    public StagePools(MemberTable members, PeerPort peers, PoolContext context) {
        this.members = members;
        this.peers = peers;
        this.context = context;
        this.timers = context.timers();
        this.log = context.log();
        this.resultOwners = new ResultOwners(context);
        this.ownedPools = new OwnedPools(log);
        this.layout = new PoolLayout(context.table(), members);
        this.owners = new OwnerSelector(members, layout, peers, timers);
        this.liveMembers = new LiveMembers(members, peers, owners, timers);
        this.backlogs = new PoolBacklogs(members, owners, pools, timers);
        this.selector = new PoolSelector(layout, owners, members.getSelf().name(), backlogs);
        this.refusedPieces = new RefusedPieces(outstanding, selector);
        this.resultOutbox = new ResultOutbox(
                peers, heartbeats, layout, context, (key, handles) -> pool(key).release(handles));
    }

    /** Starts heartbeats and the detection of silent owners; called once. */
    public void start() {
        scheduleTick();
    }

    /**
     * Applies the services of a configuration.
     *
     * @param specs all services, not null
     */
    public void setServices(Collection<ServiceSpec> specs) {
        layout.setServices(specs);
        // Withdrawn pieces can open a pool, so the iterations over pools that withdraw them need a copy.
        Map.copyOf(pools).forEach((key, pool) -> pool.setSpec(layout.getSpec(key.service())));
        onLayoutChanged();
    }

    /**
     * Applies a list of the live instances.
     *
     * @param listed every live instance; an entry with the name of this instance is ignored; not null
     */
    public void setMembers(Collection<Member> listed) {
        if (liveMembers.setListed(listed)) {
            onMembersChanged();
        }
    }

    private void onMembersChanged() {
        log.write("members.changed", "members", members.size());
        owners.onMembersChanged();
        onLayoutChanged();
        resubmitWhere(o -> members.getMember(o.destination.owner()) == null, "owner is no longer a member");
    }

    private void onLayoutChanged() {
        layout.invalidate();
        ownedPools.update(layout.getPools().stream().filter(owners::isOwnerOf).toList(), members);
        ownedPools.get().forEach(this::pool);
        peers.setDesiredPeers(owners.selectConnections(layout.getPools()));
    }

    /** Computes the pools again and dispatches queued pieces; called when endpoints have changed. */
    public void onEndpointsChanged() {
        onLayoutChanged();
        List.copyOf(pools.values()).forEach(FleetStagePool::dispatch);
    }

    /**
     * Ranks the instances as senders of pieces to an endpoint.
     *
     * @param endpoint the endpoint, not null
     * @return every member, the owner of the endpoint's pool first; empty if its service processes no pieces
     */
    public List<Member> rankOwners(Endpoint endpoint) {
        PoolKey pool = layout.findPool(endpoint);
        return pool == null ? List.of() : owners.rank(pool);
    }

    /** Withdraws all queued pieces and rejects further pieces of other instances. */
    public void leave() {
        leaving = true;
        owners.setSelfLeaving();
        sendHeartbeats(peers.getConnectedPeers());
        List.copyOf(pools.values()).forEach(pool -> pool.withdraw("instance is leaving", listener -> true));
    }

    // -----------------------------------------------------------------------

    /**
     * Submits pieces.
     *
     * @param service the stage service, not null
     * @param orders the pieces, not null
     * @param listener receives the result of each piece, not null
     */
    public void submit(String service, List<PieceOrder> orders, PieceListener listener) {
        List<SentPiece> pieces = orders.stream()
                .map(order -> new SentPiece(service, order, listener))
                .toList();
        send(service, pieces);
    }

    /**
     * Cancels the pieces of a request.
     *
     * @param service the stage service, not null
     * @param requestId the request's id, not null
     */
    public void cancel(String service, String requestId) {
        outstanding
                .removeRequest(service, requestId)
                .forEach(destination ->
                        peers.send(destination.owner(), new PeerMessage.CancelPieces(destination.pool(), requestId)));
        pools.forEach((key, pool) -> {
            if (key.service().equals(service)) {
                pool.cancel(requestId);
            }
        });
    }

    /**
     * Releases results.
     *
     * @param handles the handles of the results, not null
     */
    public void release(List<String> handles) {
        resultOwners.removeByOrigin(handles).forEach((origin, list) -> {
            if (origin.owner().equals(members.getSelf().name())) {
                pool(origin.pool()).release(list);
            } else if (!peers.send(origin.owner(), new PeerMessage.ReleaseResults(origin.pool(), list))) {
                resultOwners.freeAtProducers(list);
            }
        });
    }

    /**
     * Gets the backlog of a service: the sum over the pools of which an owner can be reached, including the pieces
     * submitted since the last report of each owner.
     *
     * @param service the stage service, not null
     * @return the backlog, never null
     */
    public StageBacklog getBacklog(String service) {
        return selector.getOpenPools(service).stream()
                .map(backlogs::get)
                .reduce(StageBacklog::plus)
                .orElse(StageBacklog.EMPTY);
    }

    /**
     * Gets the staleness of the backlog that {@link #getBacklog} returns.
     *
     * @param service the stage service, not null
     * @return the greatest staleness of a pool in nanoseconds, 0 if this instance owns all pools
     */
    public long getBacklogStaleness(String service) {
        return selector.getOpenPools(service).stream()
                .mapToLong(backlogs::getStalenessNanos)
                .max()
                .orElse(0);
    }

    /**
     * Gets the number of pieces that other instances run for this one.
     *
     * @return the count, at least 0
     */
    public int getOutstandingCount() {
        return outstanding.size();
    }

    /**
     * Gets the number of pieces that are queued in the pools of this instance.
     *
     * @return the count, at least 0
     */
    public int getQueuedCount() {
        return pools.values().stream().mapToInt(FleetStagePool::getQueuedCount).sum();
    }

    // -----------------------------------------------------------------------

    /**
     * Processes a message from another instance.
     *
     * @param from the sender's name, not null
     * @param message the message, not null
     */
    public void onMessage(String from, PeerMessage message) {
        owners.onReceived(from);
        if (message instanceof PeerMessage.SubmitPieces submit) {
            accept(from, submit);
        } else if (message instanceof PeerMessage.PiecesEnded ended) {
            ended.results().forEach(result -> onRemoteResult(from, ended.pool(), result));
        } else if (message instanceof PeerMessage.CancelPieces cancel) {
            heartbeats.onCancelled(from, cancel.requestId());
            pool(cancel.pool()).cancel(cancel.requestId());
        } else if (message instanceof PeerMessage.ReleaseResults release) {
            pool(release.pool()).release(release.handles());
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(from, heartbeat);
        }
    }

    /**
     * Called when a connection was lost or could not be established.
     *
     * @param member the name of the other instance, not null
     * @param detail a description of the failure, not null
     */
    public void onDisconnected(String member, String detail) {
        suspect(member, detail);
    }

    private void accept(String from, PeerMessage.SubmitPieces submit) {
        PieceListener resultSender = new RemoteResultSender(from, submit.pool(), resultOutbox);
        if (leaving) {
            log.write(
                    "pieces.rejected",
                    "peer",
                    from,
                    "service",
                    submit.pool().service(),
                    "reason",
                    "instance is leaving");
            submit.orders()
                    .forEach(order ->
                            resultSender.onResult(PieceResult.notProduced(order.id(), PieceResult.Status.WITHDRAWN)));
        } else {
            heartbeats.onSubmitted(from, submit.orders());
            pool(submit.pool()).submit(submit.orders(), resultSender);
        }
    }

    private void onHeartbeat(String from, PeerMessage.Heartbeat heartbeat) {
        if (owners.setLeaving(from, heartbeat.leaving())) {
            log.write("peer.leaving", "peer", from, "leaving", heartbeat.leaving());
        }
        backlogs.onReported(from, heartbeat.backlogs());
    }

    private void onRemoteResult(String from, PoolKey pool, PieceResult result) {
        SentPiece piece = outstanding.get(result.id());
        if (piece == null) {
            if (result.status() == PieceResult.Status.DONE) {
                // The result is not needed any more, so its producer can free it at once.
                peers.send(from, new PeerMessage.ReleaseResults(pool, List.of(result.handle())));
            }
            return;
        }
        boolean fromCurrentOwner = piece.destination.owner().equals(from);
        if (result.status() == PieceResult.Status.WITHDRAWN) {
            if (fromCurrentOwner) {
                outstanding.remove(result.id());
                send(piece.service, List.of(piece));
            }
        } else if (fromCurrentOwner || result.status() == PieceResult.Status.DONE) {
            outstanding.remove(result.id());
            deliver(piece, new SentPiece.Destination(pool, from), result);
        }
    }

    // -----------------------------------------------------------------------

    private void send(String service, List<SentPiece> pieces) {
        selector.assign(
                        pieces,
                        piece -> piece.listener.onResult(
                                PieceResult.notProduced(piece.order.id(), PieceResult.Status.FAILED)))
                .forEach((destination, assigned) -> sendTo(service, destination, assigned));
    }

    private void sendTo(String service, SentPiece.Destination destination, List<SentPiece> pieces) {
        List<PieceOrder> orders = pieces.stream().map(piece -> piece.order).toList();
        pieces.forEach(piece -> {
            piece.triedDestinations.add(destination);
            piece.destination = destination;
            piece.sentNanos = timers.now();
            piece.held = false;
        });
        String owner = destination.owner();
        if (owner.equals(members.getSelf().name())) {
            Map<PieceId, SentPiece> piecesById = new HashMap<>();
            pieces.forEach(piece -> piecesById.put(piece.order.id(), piece));
            pool(destination.pool())
                    .submit(orders, result -> onOwnResult(piecesById.get(result.id()), destination, result));
        } else if (peers.send(owner, new PeerMessage.SubmitPieces(destination.pool(), orders))) {
            backlogs.onSubmitted(destination.pool(), orders);
            pieces.forEach(outstanding::add);
        } else if (peers.isConnected(owner)) {
            String reason = "connection to " + owner + " is full";
            log.write("pieces.resubmitted", "service", service, "pieces", pieces.size(), "reason", reason);
            send(service, refusedPieces.selectSendable(pieces));
        } else {
            suspect(owner, "not connected");
            send(service, pieces);
        }
    }

    private void onOwnResult(@Nullable SentPiece piece, SentPiece.Destination origin, PieceResult result) {
        if (piece == null) {
            return;
        }
        if (result.status() == PieceResult.Status.WITHDRAWN) {
            send(piece.service, List.of(piece));
        } else {
            deliver(piece, origin, result);
        }
    }

    private void deliver(SentPiece piece, SentPiece.Destination origin, PieceResult result) {
        if (result.status() == PieceResult.Status.DONE) {
            resultOwners.add(result.handle(), origin);
        }
        piece.listener.onResult(result);
    }

    private void suspect(String member, String reason) {
        if (owners.suspect(member)) {
            log.write(
                    "peer.suspected",
                    "peer",
                    member,
                    "reason",
                    reason,
                    "pieces",
                    outstanding.countAt(member),
                    "last_received_ms_ago",
                    (timers.now() - owners.getLastReceivedNanos(member)) / 1_000_000,
                    "peers",
                    peers.getConnectedPeers().size());
        }
        resubmitWhere(o -> o.destination.owner().equals(member), reason);
    }

    private void resubmitWhere(Predicate<SentPiece> condition, String reason) {
        outstanding.removeIf(condition).forEach((service, pieces) -> {
            log.write("pieces.resubmitted", "service", service, "pieces", pieces.size(), "reason", reason);
            send(service, pieces);
        });
    }

    // -----------------------------------------------------------------------

    private void scheduleTick() {
        long dueNanos = timers.now() + PeerHeartbeats.TICK_NANOS;
        timers.schedule(dueNanos, () -> tick(timers.now() - dueNanos));
    }

    private void tick(long lateNanos) {
        scheduleTick();
        if (liveMembers.removeSilent()) {
            onMembersChanged();
        }
        // Before heartbeats, which must not take the room of results and pieces on a full connection.
        resultOutbox.sendUnsent();
        refusedPieces.removeHeld().forEach(this::send);
        sendHeartbeats(
                heartbeats.selectDue(peers::getConnectedPeers, !ownedPools.get().isEmpty()));
        // Messages that arrived while this loop was late are processed after this tick.
        long boundNanos = PeerHeartbeats.SILENCE_BOUND_NANOS + lateNanos;
        Set<String> silentOwners = outstanding.findSilentOwners(owners, timers.now() - boundNanos);
        for (String member : silentOwners) {
            suspect(member, "silent");
            peers.reconnect(member);
        }
    }

    private void sendHeartbeats(Collection<String> receivers) {
        if (receivers.isEmpty()) {
            return;
        }
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(backlogs.getOwn(layout.getPools()), leaving);
        receivers.forEach(name -> peers.send(name, heartbeat));
    }

    /** Withdraws the queued pieces of other instances, which may have resubmitted them while the process was paused. */
    public void onProcessPaused() {
        List.copyOf(pools.values())
                .forEach(pool -> pool.withdraw("process was paused", PieceListener::isOfOtherInstance));
    }

    private FleetStagePool pool(PoolKey key) {
        return pools.computeIfAbsent(key, k -> {
            FleetStagePool pool = new FleetStagePool(k, context);
            pool.setSpec(layout.getSpec(k.service()));
            return pool;
        });
    }
}
