package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.fuchsiawharf.core.tunnel.EndpointReach;
import org.fuchsiawharf.core.tunnel.TunnelPeers;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.TunnelClient;
import org.fuchsiawharf.peer.TunnelHandler;
import org.fuchsiawharf.relay.EndpointNoticeReader;
import org.jspecify.annotations.Nullable;

/**
 * Connects with endpoints directly, or through a peer if this instance is cut off from them.
 *
 * <p>A call is sent on one connection only, and only once that is established; so a connect that fails proves that
 * nothing was sent. An endpoint that this instance is cut off from is probed until it can be connected with directly.
 * Confined to the I/O thread.
 */
public final class EndpointConnector implements Connector {
    /** Interval between probes, each of one endpoint that this instance is cut off from. */
    private static final long PROBE_INTERVAL_MILLIS = 250;
    /** Time after which a peer is asked while a direct connect gets no answer; many round trips. */
    private static final long TUNNEL_DELAY_MILLIS = 100;
    /** Time after the start of a connect until which another peer is asked. */
    private static final long MAX_ASK_NANOS = 400_000_000L;
    /** Maximum number of peers asked for one connection. */
    private static final int MAX_PEERS = 3;

    private final EventLoop loop;
    private final DirectConnector direct;
    private final TunnelClient tunnels;
    private final EndpointReach reach;
    private final TunnelPeers peers;
    private final EndpointNoticeReader noticeReader;
    private final DecisionLog log;
    private final Meters meters;
    private final Map<String, InetSocketAddress> cutOffAddresses = new HashMap<>();
    private boolean probing;

    /**
     * Creates a connector.
     *
     * @param direct connects directly, not null
     * @param tunnels connects through peers, not null
     * @param reach the endpoints that this instance is cut off from, not null
     * @param peers the peers to connect through, not null
     * @param noticeReader reads the notices in responses, not null
     * @param log records cuts and tunnels, not null
     * @param meters records metrics, not null
     */
    public EndpointConnector(
            DirectConnector direct,
            TunnelClient tunnels,
            EndpointReach reach,
            TunnelPeers peers,
            EndpointNoticeReader noticeReader,
            DecisionLog log,
            Meters meters) {
        this.loop = direct.getLoop();
        this.direct = direct;
        this.tunnels = tunnels;
        this.reach = reach;
        this.peers = peers;
        this.noticeReader = noticeReader;
        this.log = log;
        this.meters = meters;
    }

    @Override
    public void connect(HttpCall call, Consumer<Channel> handlers, Listener listener) {
        String endpoint = call.endpoint();
        if (endpoint == null) {
            direct.connect(call, handlers, listener);
        } else {
            new PendingConnect(call, endpoint, handlers, listener).start();
        }
    }

    @Override
    public boolean mayReuse(HttpCall call) {
        return call.endpoint() == null || reach.isDirect(call.endpoint());
    }

    @Override
    public void onHead(Channel channel, int status, HttpHeaders fields) {
        TunnelHandler tunnel = channel.pipeline().get(TunnelHandler.class);
        EndpointNotice notice = tunnel == null ? EndpointNotice.NONE : noticeReader.readNotice(status, fields);
        if (tunnel != null && !notice.equals(EndpointNotice.NONE)) {
            tunnel.sendNotice(notice);
        }
    }

    // -----------------------------------------------------------------------

    private void onDirectConnected(String endpoint) {
        if (reach.onDirectConnected(endpoint)) {
            log.write("endpoint.reached", "endpoint", endpoint, "cut_off", reach.getCutOffCount());
        }
    }

    private void onCutOff(String endpoint, InetSocketAddress address, @Nullable String detail) {
        meters.count("endpoint_reach", "cut_off");
        log.write("endpoint.cut_off", "endpoint", endpoint, "detail", detail, "cut_off", reach.getCutOffCount());
        cutOffAddresses.put(endpoint, address);
        if (!probing) {
            probing = true;
            scheduleProbe();
        }
    }

    private void scheduleProbe() {
        loop.schedule(this::probe, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void probe() {
        String endpoint = reach.selectProbe(System.nanoTime());
        InetSocketAddress address = endpoint == null ? null : cutOffAddresses.get(endpoint);
        if (endpoint == null || address == null) {
            probing = false;
            cutOffAddresses.clear();
            return;
        }
        direct.connect(address, channel -> {}, new Listener() {
            @Override
            public void onConnected(Channel channel, boolean reusable) {
                channel.close();
                onDirectConnected(endpoint);
            }

            @Override
            public void onFailed(String detail) {
                reach.onProbeFailed();
            }
        });
        scheduleProbe();
    }

    // -----------------------------------------------------------------------

    /** One connect for a call; the first connection that is established is used, directly or through a peer. */
    private final class PendingConnect {
        private final HttpCall call;
        private final String endpoint;
        private final Consumer<Channel> handlers;
        private final Listener listener;
        private final long startNanos = System.nanoTime();
        private final Set<String> askedPeers = new HashSet<>();
        private @Nullable String directFailure;
        private String tunnelFailure = "no peer to connect through";
        private boolean directStarted;
        private boolean tunnelStarted;
        private boolean tunnelEnded;
        private boolean unreachable;
        private boolean ended;

        private PendingConnect(HttpCall call, String endpoint, Consumer<Channel> handlers, Listener listener) {
            this.call = call;
            this.endpoint = endpoint;
            this.handlers = handlers;
            this.listener = listener;
        }

        private void start() {
            if (reach.isDirect(endpoint)) {
                startDirect();
                loop.schedule(this::startTunnel, TUNNEL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                startTunnel();
            }
        }

        private void startDirect() {
            directStarted = true;
            direct.connect(call, handlers, new Listener() {
                @Override
                public void onConnected(Channel channel, boolean reusable) {
                    onDirectConnected(endpoint);
                    use(channel, reusable);
                }

                @Override
                public void onFailed(String detail) {
                    directFailure = detail;
                    if (reach.onDirectFailed(endpoint, System.nanoTime())) {
                        onCutOff(endpoint, call.address(), detail);
                    }
                    startTunnel();
                    failIfExhausted();
                }
            });
        }

        private void use(Channel channel, boolean reusable) {
            if (ended) {
                channel.close();
            } else {
                ended = true;
                listener.onConnected(channel, reusable);
            }
        }

        private void startTunnel() {
            if (ended || tunnelStarted) {
                return;
            }
            tunnelStarted = true;
            if (reach.mayTunnel(endpoint, startNanos)) {
                askNextPeer();
            } else {
                unreachable = true;
                endTunnel();
            }
        }

        private void askNextPeer() {
            long nowNanos = System.nanoTime();
            boolean late = nowNanos - startNanos > MAX_ASK_NANOS;
            Member peer = ended || late || askedPeers.size() >= MAX_PEERS ? null : peers.select(askedPeers, nowNanos);
            if (peer == null) {
                endTunnel();
                return;
            }
            askedPeers.add(peer.name());
            peers.onOpened(peer.name());
            String id = call.expectedId() == null ? "" : call.expectedId();
            tunnels.open(
                    peer,
                    new TunnelRequest(peers.getSelf(), endpoint, id),
                    handlers,
                    new PeerListener(peer.name(), id));
        }

        private void endTunnel() {
            tunnelEnded = true;
            if (unreachable && !ended) {
                reach.onUnreachable(endpoint, System.nanoTime());
            }
            // A direct connect is tried as well if no peer could be asked.
            if (!ended && !directStarted && !unreachable) {
                startDirect();
            }
            failIfExhausted();
        }

        private void failIfExhausted() {
            boolean directEnded = !directStarted || directFailure != null;
            if (!ended && tunnelEnded && directEnded) {
                ended = true;
                listener.onFailed((directFailure == null ? "cut off" : directFailure) + "; " + tunnelFailure);
            }
        }

        /** Receives the outcome of asking one peer. */
        private final class PeerListener implements TunnelClient.Listener {
            private final String peer;
            private final String id;

            private PeerListener(String peer, String id) {
                this.peer = peer;
                this.id = id;
            }

            @Override
            public void onOpened(Channel channel) {
                meters.count("tunnels", "opened");
                log.write("tunnel.opened", "request", id, "endpoint", endpoint, "peer", peer);
                if (reach.onTunnelOpened(endpoint, System.nanoTime())) {
                    onCutOff(endpoint, call.address(), directFailure);
                }
                use(channel, false);
            }

            @Override
            public void onRefused(TunnelRefusal refusal) {
                unreachable |= refusal == TunnelRefusal.UNREACHABLE;
                peers.onRefused(peer, refusal, System.nanoTime());
                onNotOpened(refusal.name().toLowerCase(Locale.ROOT));
                if (refusal == TunnelRefusal.GONE) {
                    endTunnel();
                } else {
                    askNextPeer();
                }
            }

            @Override
            public void onFailed(String detail) {
                peers.onSilent(peer, System.nanoTime());
                onNotOpened(detail);
                askNextPeer();
            }

            private void onNotOpened(String reason) {
                meters.count("tunnels", "not_opened");
                log.write("tunnel.not_opened", "request", id, "endpoint", endpoint, "peer", peer, "reason", reason);
                tunnelFailure = peer + ": " + reason;
            }

            @Override
            public void onClosed() {
                peers.onClosed(peer);
            }
        }
    }
}
