package org.fuchsiawharf.core.relay;

/**
 * Admits every request; the baseline that other admission policies are compared with.
 *
 * <p>Stateless and thread-safe.
 */
public final class AdmitEvery implements RequestAdmission {
    @Override
    public Decision decide(RequestEstimate estimate) {
        return Decision.ADMIT;
    }
}
