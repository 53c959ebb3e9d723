package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.loop.TaskLoop;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.fuchsiawharf.core.tunnel.EndpointReach;
import org.fuchsiawharf.core.tunnel.TunnelAdmission;
import org.fuchsiawharf.core.tunnel.TunnelPeers;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.TunnelAcceptor;
import org.fuchsiawharf.peer.TunnelCarrier;
import org.fuchsiawharf.peer.TunnelClient;
import org.fuchsiawharf.relay.EndpointNoticeReader;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.client.Connector;
import org.fuchsiawharf.relay.client.DirectConnector;
import org.fuchsiawharf.relay.client.EndpointConnector;
import org.jspecify.annotations.Nullable;

/**
 * Connects this instance with endpoints through other instances, and these through this one.
 *
 * <p>An instance that is cut off from an endpoint itself refuses at once, so that a request passes through one other
 * instance at most. The methods of {@link TunnelAcceptor} are called on the I/O thread, the others on the decision loop.
 */
final class TunnelService implements TunnelAcceptor {
    /** Connect timeout to an endpoint for another instance, which waits for the outcome. */
    private static final int CARRIED_CONNECT_TIMEOUT_MILLIS = 200;
    /** Connect timeout to an instance through which an endpoint is to be reached. */
    private static final int PEER_CONNECT_TIMEOUT_MILLIS = 200;

    private final IoThread ioThread;
    private final TaskLoop loop;
    private final EndpointTable table;
    private final DecisionLog log;
    private final EndpointReach reach = new EndpointReach();
    private final TunnelPeers peers;
    private final TunnelAdmission admission;
    private final Connector connector;
    private @Nullable RelayInstance instance;

    TunnelService(
            Member self,
            IoThread ioThread,
            TaskLoop loop,
            EndpointTable table,
            EndpointNoticeReader noticeReader,
            DecisionLog log,
            Meters meters) {
        this.ioThread = ioThread;
        this.loop = loop;
        this.table = table;
        this.log = log;
        this.peers = new TunnelPeers(self.name(), new SplittableRandom(self.incarnation()));
        this.admission = new TunnelAdmission(table);
        this.connector = new EndpointConnector(
                new DirectConnector(ioThread, meters),
                new TunnelClient(DirectConnector.newBootstrap(ioThread, PEER_CONNECT_TIMEOUT_MILLIS)),
                reach,
                peers,
                noticeReader,
                log,
                meters);
    }

    /** Gets the connector, which connects with endpoints through other instances where needed. */
    Connector getConnector() {
        return connector;
    }

    /** Creates the carrier of the tunnels of other instances. */
    TunnelCarrier createCarrier() {
        return new TunnelCarrier(DirectConnector.newBootstrap(ioThread, CARRIED_CONNECT_TIMEOUT_MILLIS), this);
    }

    /** Sets the live instances. */
    void setMembers(Collection<Member> live) {
        List<Member> members = List.copyOf(live);
        ioThread.getLoop().execute(() -> peers.setMembers(members));
    }

    /** Sets the instance that receives notices; called once, before the first tunnel. */
    void setInstance(RelayInstance relayInstance) {
        instance = relayInstance;
    }

    /** Gets the number of tunnels of other instances. */
    int getOpen() {
        return admission.getOpen();
    }

    /** Refuses all further tunnels. */
    void stop() {
        admission.stop();
    }

    // -----------------------------------------------------------------------

    @Override
    public void onRequested(TunnelRequest request, Consumer<Decision> callback) {
        if (!reach.isDirect(request.endpoint())) {
            callback.accept(new Decision(null, TunnelRefusal.CUT_OFF));
        } else {
            loop.execute(() -> callback.accept(decide(request)));
        }
    }

    private Decision decide(TunnelRequest request) {
        TunnelRefusal refusal = admission.admit(request, loop.getTimers().now());
        EndpointState state = table.getEndpoint(request.endpoint());
        if (refusal != null || state == null) {
            log.write(
                    "tunnel.refused",
                    "request",
                    request.requestId(),
                    "peer",
                    request.sender(),
                    "endpoint",
                    request.endpoint(),
                    "reason",
                    String.valueOf(refusal),
                    "open",
                    admission.getOpen());
            return new Decision(null, refusal == null ? TunnelRefusal.GONE : refusal);
        }
        Endpoint endpoint = state.getEndpoint();
        return new Decision(new InetSocketAddress(endpoint.host(), endpoint.port()), null);
    }

    @Override
    public void onNotice(TunnelRequest request, EndpointNotice notice) {
        loop.execute(() -> {
            RelayInstance current = instance;
            if (current != null && notice.leaving()) {
                current.getEndpointUpdates().onLeaving(request.endpoint());
            }
            if (current != null && notice.pauseNanos() > 0) {
                current.getEndpointUpdates().onPauseRequested(request.endpoint(), notice.pauseNanos());
            }
        });
    }

    @Override
    public void onEnded(TunnelRequest request, String outcome, long bytes) {
        loop.execute(() -> {
            admission.onClosed();
            log.write(
                    "tunnel.carried",
                    "request",
                    request.requestId(),
                    "peer",
                    request.sender(),
                    "endpoint",
                    request.endpoint(),
                    "outcome",
                    outcome,
                    "bytes",
                    bytes,
                    "open",
                    admission.getOpen());
        });
    }
}
