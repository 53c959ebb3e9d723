package org.fuchsiawharf.core.port;

import java.util.function.Consumer;

import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.model.Payload;

/**
 * Claims idempotency keys for this instance.
 *
 * <p>Implementations return at once. Called on the loop's thread.
 */
public interface ClaimPort {
    /** Grants every claim: for an instance that has no other beside it. */
    ClaimPort ALWAYS = new ClaimPort() {
        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
            receiver.accept(ClaimResult.granted());
        }

        @Override
        public void release(String key, String request) {}
    };

    /**
     * Claims a key.
     *
     * @param key workspace, pipeline and idempotency key, not null
     * @param request the request's id, not null
     * @param body the request's body, not null
     * @param receiver receives the result on the loop's thread, perhaps at once, not null
     */
    void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver);

    /**
     * Gives a claim up, since its request did not take effect.
     *
     * @param key workspace, pipeline and idempotency key, not null
     * @param request the request's id, not null
     */
    void release(String key, String request);
}
