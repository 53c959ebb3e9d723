package org.fuchsiawharf.core.relay;

/**
 * Takes every request on: the baseline.
 *
 * <p>Stateless and thread-safe.
 */
public final class AdmitEvery implements RequestAdmission {
    @Override
    public Verdict decide(Outlook outlook) {
        return Verdict.ADMIT;
    }
}
