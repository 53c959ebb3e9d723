package org.fuchsiawharf.core.routing;

/**
 * What one incarnation of an endpoint has stated about itself: that it leaves, and the requests that it accepts.
 *
 * <p>A statement that the endpoint leaves is never withdrawn. Confined to the decision loop.
 */
final class EndpointNotices {
    private final RequestLimit requestLimit = new RequestLimit();
    private boolean leaving;

    void onLeaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    RequestLimit getRequestLimit() {
        return requestLimit;
    }

    /** Checks whether the endpoint has stated nothing. */
    boolean isEmpty() {
        return !leaving && requestLimit.getPerSecond() == 0 && requestLimit.getPausedUntilNanos() == Long.MIN_VALUE;
    }
}
