package org.fuchsiawharf.http.server;

/**
 * Whether an instance wants new requests.
 *
 * <p>Thread-safe.
 */
public final class Readiness {
    private volatile boolean ready;

    /** Creates a state that is not ready. */
    public Readiness() {}

    /**
     * Tells whether new requests are wanted.
     *
     * @return true if they are
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Sets whether new requests are wanted.
     *
     * @param wanted whether they are
     */
    public void setReady(boolean wanted) {
        ready = wanted;
    }
}
