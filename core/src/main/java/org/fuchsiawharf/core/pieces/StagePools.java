package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Routes pieces to the pool of the owner of their service, on this instance or on another.
 *
 * <p>Each stage service has one owner among the live instances, chosen by hashing alone; ownership is a hint and never
 * exclusive. If the owner is silent, withdraws pieces or is not connected, they are sent to the owner within the own
 * availability zone, since a partition between zones is the likely cause, and then to the pool of this instance. A
 * piece can therefore be produced twice; the first result is used.
 *
 * <p>Confined to the decision loop.
 */
public final class StagePools {
    /** Connected candidates for a service's owner, overall and in the instance's zone; several can fail at once. */
    private static final int CONNECTED_OWNERS = 3;

    private final MemberTable members;
    private final PeerPort peers;
    private final PoolContext context;
    private final TimerService timers;
    private final DecisionLog log;
    private final Map<String, FleetStagePool> pools = new HashMap<>();
    private final OutstandingPieces outstanding = new OutstandingPieces();
    private final ResultOwners resultOwners = new ResultOwners();
    private final OwnerSelector owners;
    private final LiveMembers liveMembers;
    private final Map<String, ReportedBacklog> reportedBacklogs = new HashMap<>();
    private final PeerHeartbeats heartbeats = new PeerHeartbeats();
    private Set<String> services = Set.of();
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
        this.owners = new OwnerSelector(members, peers, timers);
        this.liveMembers = new LiveMembers(members, peers, owners, timers);
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
        Set<String> stageServices = new HashSet<>();
        for (ServiceSpec spec : specs) {
            if (spec.pieces() != null) {
                stageServices.add(spec.name());
                pool(spec.name()).setSpec(spec.pieces());
            }
        }
        pools.forEach((name, pool) -> {
            if (!stageServices.contains(name)) {
                pool.setSpec(null);
            }
        });
        services = stageServices;
        connectToOwners();
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
        connectToOwners();
        owners.onMembersChanged();
        resubmitWhere(o -> members.getMember(o.owner) == null, "owner is no longer a member");
    }

    private void connectToOwners() {
        Set<Member> membersToConnect = new HashSet<>();
        for (String service : services) {
            List<Member> ranked = members.rankOwners(service);
            ranked.stream().limit(CONNECTED_OWNERS).forEach(membersToConnect::add);
            ranked.stream().filter(owners::isInOwnZone).limit(CONNECTED_OWNERS).forEach(membersToConnect::add);
        }
        membersToConnect.remove(members.getSelf());
        peers.setDesiredPeers(membersToConnect);
    }

    /** Dispatches queued pieces; called when endpoints have changed. */
    public void onEndpointsChanged() {
        pools.values().forEach(FleetStagePool::dispatch);
    }

    /** Withdraws all queued pieces and rejects further pieces of other instances. */
    public void leave() {
        leaving = true;
        owners.setSelfLeaving();
        sendHeartbeats(peers.getConnectedPeers());
        pools.values().forEach(pool -> pool.withdrawAll("instance is leaving"));
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
        reportedBacklog(service).onSubmitted(orders);
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
                .forEach(owner -> peers.send(owner, new PeerMessage.CancelPieces(service, requestId)));
        pool(service).cancel(requestId);
    }

    /**
     * Releases results.
     *
     * @param service the service that produced them, not null
     * @param handles the handles of the results, not null
     */
    public void release(String service, List<String> handles) {
        resultOwners.removeByOwner(handles).forEach((owner, list) -> {
            if (owner.equals(members.getSelf().name())) {
                pool(service).release(list);
            } else if (!peers.send(owner, new PeerMessage.ReleaseResults(service, list))) {
                freeAtProducers(list);
            }
        });
    }

    // Frees results at their producers directly, since the owner that ordered them is not connected.
    private void freeAtProducers(List<String> handles) {
        for (String handle : handles) {
            EndpointState producer = context.table().findByHandle(handle);
            if (producer != null && producer.getRequestLimit().maySend(timers.now())) {
                producer.getRequestLimit().onSent(timers.now());
                context.calls().release(producer.getEndpoint(), List.of(handle), () -> {});
            }
        }
    }

    /**
     * Gets the backlog of a service, including the pieces submitted since the last report of its owner.
     *
     * @param service the stage service, not null
     * @return the backlog, never null
     */
    public StageBacklog getBacklog(String service) {
        Member owner = owners.getPreferred(service);
        if (owner.equals(members.getSelf())) {
            return pool(service).getBacklog();
        }
        return reportedBacklog(service).get();
    }

    /**
     * Gets the staleness of the backlog that {@link #getBacklog} returns.
     *
     * @param service the stage service, not null
     * @return the staleness in nanoseconds, 0 if this instance owns the service
     */
    public long getBacklogStaleness(String service) {
        boolean isOwner = owners.getPreferred(service).equals(members.getSelf());
        return isOwner ? 0 : timers.now() - reportedBacklog(service).getReportedAtNanos();
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
            ended.results().forEach(result -> onRemoteResult(from, ended.service(), result));
        } else if (message instanceof PeerMessage.CancelPieces cancel) {
            heartbeats.onCancelled(from, cancel.requestId());
            pool(cancel.service()).cancel(cancel.requestId());
        } else if (message instanceof PeerMessage.ReleaseResults release) {
            pool(release.service()).release(release.handles());
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
        PieceListener resultSender = new RemoteResultSender(from, submit.service(), peers, heartbeats);
        if (leaving) {
            log.write("pieces.rejected", "peer", from, "service", submit.service(), "reason", "instance is leaving");
            submit.orders()
                    .forEach(order ->
                            resultSender.onResult(PieceResult.notProduced(order.id(), PieceResult.Status.WITHDRAWN)));
        } else {
            heartbeats.onSubmitted(from, submit.orders());
            pool(submit.service()).submit(submit.orders(), resultSender);
        }
    }

    private void onHeartbeat(String from, PeerMessage.Heartbeat heartbeat) {
        if (owners.setLeaving(from, heartbeat.leaving())) {
            log.write("peer.leaving", "peer", from, "leaving", heartbeat.leaving());
        }
        heartbeat.backlogs().forEach((service, backlog) -> {
            if (owners.getPreferred(service).name().equals(from)) {
                reportedBacklog(service).set(backlog, timers.now());
            }
        });
    }

    private void onRemoteResult(String from, String service, PieceResult result) {
        SentPiece piece = outstanding.get(result.id());
        if (piece == null) {
            if (result.status() == PieceResult.Status.DONE) {
                // The result is not needed any more, so its producer can free it at once.
                peers.send(from, new PeerMessage.ReleaseResults(service, List.of(result.handle())));
            }
            return;
        }
        boolean fromCurrentOwner = piece.owner.equals(from);
        if (result.status() == PieceResult.Status.WITHDRAWN) {
            if (fromCurrentOwner) {
                outstanding.remove(result.id());
                send(piece.service, List.of(piece));
            }
        } else if (fromCurrentOwner || result.status() == PieceResult.Status.DONE) {
            outstanding.remove(result.id());
            deliver(piece, from, result);
        }
    }

    // -----------------------------------------------------------------------

    private void send(String service, List<SentPiece> pieces) {
        Map<String, List<SentPiece>> byOwner = new LinkedHashMap<>();
        for (SentPiece piece : pieces) {
            Member owner = owners.getCandidates(service).stream()
                    .filter(m -> !piece.triedOwners.contains(m.name()))
                    .findFirst()
                    .orElse(null);
            if (owner == null) {
                piece.listener.onResult(PieceResult.notProduced(piece.order.id(), PieceResult.Status.FAILED));
            } else {
                byOwner.computeIfAbsent(owner.name(), o -> new ArrayList<>()).add(piece);
            }
        }
        byOwner.forEach((owner, list) -> sendTo(service, owner, list));
    }

    private void sendTo(String service, String owner, List<SentPiece> pieces) {
        List<PieceOrder> orders = pieces.stream().map(piece -> piece.order).toList();
        pieces.forEach(piece -> {
            piece.triedOwners.add(owner);
            piece.owner = owner;
            piece.sentNanos = timers.now();
        });
        if (owner.equals(members.getSelf().name())) {
            Map<PieceId, SentPiece> piecesById = new HashMap<>();
            pieces.forEach(piece -> piecesById.put(piece.order.id(), piece));
            pool(service).submit(orders, result -> onOwnResult(piecesById.get(result.id()), result));
        } else if (peers.send(owner, new PeerMessage.SubmitPieces(service, orders))) {
            pieces.forEach(outstanding::add);
        } else {
            suspect(owner, "not connected");
            send(service, pieces);
        }
    }

    private void onOwnResult(@Nullable SentPiece piece, PieceResult result) {
        if (piece == null) {
            return;
        }
        if (result.status() == PieceResult.Status.WITHDRAWN) {
            send(piece.service, List.of(piece));
        } else {
            deliver(piece, members.getSelf().name(), result);
        }
    }

    private void deliver(SentPiece piece, String owner, PieceResult result) {
        if (result.status() == PieceResult.Status.DONE) {
            resultOwners.add(result.handle(), owner);
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
        resubmitWhere(o -> o.owner.equals(member), reason);
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
        sendHeartbeats(heartbeats.selectDue(
                peers.getConnectedPeers(), services.stream().anyMatch(owners::isOwnerOf)));
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
        Map<String, StageBacklog> backlogs = new HashMap<>();
        pools.forEach((service, pool) -> backlogs.put(service, pool.getBacklog()));
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(backlogs, leaving);
        receivers.forEach(name -> peers.send(name, heartbeat));
    }

    /** Withdraws queued pieces after a pause of the process, in which other instances may have resubmitted theirs. */
    public void onProcessPaused() {
        pools.values().forEach(pool -> pool.withdrawAll("process was paused"));
    }

    private ReportedBacklog reportedBacklog(String service) {
        return reportedBacklogs.computeIfAbsent(service, s -> new ReportedBacklog());
    }

    private FleetStagePool pool(String service) {
        return pools.computeIfAbsent(service, s -> new FleetStagePool(s, context));
    }
}
