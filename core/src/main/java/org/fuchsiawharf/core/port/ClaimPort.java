package org.fuchsiawharf.core.port;

import java.util.function.Consumer;

import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.model.Payload;

/**
 * Claims idempotency keys for this instance.
 *
 * <p>Implementations must not block. Called on the decision loop's thread.
 */
public interface ClaimPort {
    /** Grants every claim, for a deployment with a single instance. */
    ClaimPort GRANT_ALL = new ClaimPort() {
        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> callback) {
            callback.accept(ClaimResult.granted());
        }

        @Override
        public void release(String key, String request) {}
    };

    /**
     * Claims a key for a request.
     *
     * @param key the workspace, pipeline and idempotency key, not null
     * @param request the identifier of the request, not null
     * @param body the body of the request, not null
     * @param callback the callback for the result, run on the decision loop's thread and possibly before this method
     *     returns, not null
     */
    void claim(String key, String request, Payload body, Consumer<ClaimResult> callback);

    /**
     * Releases the claim of a request that did not take effect, so that the key can be claimed again.
     *
     * @param key the workspace, pipeline and idempotency key, not null
     * @param request the identifier of the request, not null
     */
    void release(String key, String request);
}
