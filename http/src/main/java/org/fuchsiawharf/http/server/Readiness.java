package org.fuchsiawharf.http.server;

/**
 * Holds whether an instance accepts new requests.
 *
 * <p>Thread-safe.
 */
public final class Readiness {
    private volatile boolean ready;

    /** Creates a readiness that is initially false. */
    public Readiness() {}

    /**
     * Checks whether the instance accepts new requests.
     *
     * @return true if it does
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Sets whether the instance accepts new requests.
     *
     * @param acceptsRequests true if it does
     */
    public void setReady(boolean acceptsRequests) {
        ready = acceptsRequests;
    }
}
