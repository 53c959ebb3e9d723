package org.fuchsiawharf.core.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.quarantine.CrashQuarantine;
import org.fuchsiawharf.core.quarantine.EvidenceExchange;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Connections between instances on virtual time that carry evidence of crashes.
 *
 * <p>Confined to the test's thread.
 */
final class EvidenceNetwork {
    private static final long DELAY_NANOS = 15_000_000L;

    private final TimerService timers;
    private final Map<String, EvidenceExchange> exchanges = new LinkedHashMap<>();
    private final Map<String, Port> ports = new HashMap<>();

    EvidenceNetwork(TimerService timers) {
        this.timers = timers;
    }

    /** Connects an instance with all others; replaces the instance of that name if it has restarted. */
    void connect(String name, CrashQuarantine quarantine) {
        Port port = new Port(name);
        EvidenceExchange exchange =
                new EvidenceExchange(quarantine, port, timers, new SplittableRandom(name.hashCode()));
        exchanges.put(name, exchange);
        ports.put(name, port);
        exchange.start();
    }

    private final class Port implements PeerPort {
        private final String self;

        private Port(String self) {
            this.self = self;
        }

        @Override
        public void setDesiredPeers(Collection<Member> peers) {}

        @Override
        public boolean send(String peer, PeerMessage message) {
            if (!isAlive()) {
                return false;
            }
            timers.schedule(timers.now() + DELAY_NANOS, () -> deliver(peer, message));
            return true;
        }

        private boolean isAlive() {
            return ports.get(self) == this;
        }

        private void deliver(String peer, PeerMessage message) {
            EvidenceExchange receiver = exchanges.get(peer);
            if (isAlive() && receiver != null && message instanceof PeerMessage.ShareEvidence evidence) {
                receiver.onMessage(evidence);
            }
        }

        @Override
        public void reconnect(String peer) {}

        @Override
        public Collection<String> getConnectedPeers() {
            return exchanges.keySet().stream()
                    .filter(name -> !name.equals(self))
                    .toList();
        }

        @Override
        public boolean isConnected(String peer) {
            return !peer.equals(self) && List.copyOf(exchanges.keySet()).contains(peer);
        }
    }
}
