package org.fuchsiawharf.peer;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.jspecify.annotations.Nullable;

/**
 * Decides about the tunnels that peers ask for.
 *
 * <p>Called on the I/O thread.
 */
public interface TunnelAcceptor {
    /**
     * The decision about a request: exactly one of the components is not null.
     *
     * @param address the address of the endpoint to connect with
     * @param refusal the reason to refuse the request
     */
    record Decision(@Nullable InetSocketAddress address, @Nullable TunnelRefusal refusal) {}

    /**
     * Called when a peer asks for a tunnel.
     *
     * @param request the request, not null
     * @param callback receives the decision, once and on any thread, not null
     */
    void onRequested(TunnelRequest request, Consumer<Decision> callback);

    /**
     * Called with what an endpoint stated in a response that a tunnel carried.
     *
     * @param request the request of the tunnel, not null
     * @param notice the notice, not null
     */
    void onNotice(TunnelRequest request, EndpointNotice notice);

    /**
     * Called when an admitted tunnel has ended.
     *
     * @param request the request of the tunnel, not null
     * @param outcome how it ended, for logs, not null
     * @param bytes the number of bytes that it carried in both directions
     */
    void onEnded(TunnelRequest request, String outcome, long bytes);
}
