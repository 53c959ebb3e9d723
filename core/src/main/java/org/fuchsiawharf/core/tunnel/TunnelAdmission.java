package org.fuchsiawharf.core.tunnel;

import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this instance connects another instance with an endpoint.
 *
 * <p>Answers the load of instances that are cut off: their connections must not take the memory that this instance needs
 * for its own callers, and must not reach an endpoint that has told this instance to send it nothing. An instance that
 * stops accepts no tunnels.
 *
 * <p>Confined to the decision loop.
 */
public final class TunnelAdmission {
    /** Maximum number of tunnels of other instances; their buffers take some 100 KB each. */
    private static final int MAX_TUNNELS = 128;

    private final EndpointTable table;
    private int open;
    private boolean stopping;

    /**
     * Creates an admission without tunnels.
     *
     * @param table the known endpoints, not null
     */
    public TunnelAdmission(EndpointTable table) {
        this.table = table;
    }

    /**
     * Decides about a request; an admitted tunnel counts until {@link #onClosed}.
     *
     * @param request the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the reason to refuse the request, null if it is admitted
     */
    public @Nullable TunnelRefusal admit(TunnelRequest request, long nowNanos) {
        EndpointState endpoint = table.getEndpoint(request.endpoint());
        if (endpoint == null || endpoint.isLeaving()) {
            return TunnelRefusal.GONE;
        }
        boolean paused = endpoint.getRequestLimit().getPausedUntilNanos() > nowNanos;
        if (stopping || paused || open >= MAX_TUNNELS) {
            return TunnelRefusal.BUSY;
        }
        open++;
        return null;
    }

    /** Records that an admitted tunnel has ended. */
    public void onClosed() {
        open--;
    }

    /** Refuses all further tunnels, because this instance stops. */
    public void stop() {
        stopping = true;
    }

    /**
     * Gets the number of open tunnels of other instances.
     *
     * @return the count, at least 0
     */
    public int getOpen() {
        return open;
    }
}
