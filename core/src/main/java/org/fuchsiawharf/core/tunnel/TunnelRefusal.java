package org.fuchsiawharf.core.tunnel;

/** The reasons for which an instance does not connect another instance with an endpoint. */
public enum TunnelRefusal {
    /** The endpoint could not be reached. */
    UNREACHABLE,
    /** The instance has no direct connections to the endpoint itself. */
    CUT_OFF,
    /** The instance knows no such endpoint, or one that is leaving. */
    GONE,
    /** The instance or the endpoint accepts no more for now. */
    BUSY
}
