package org.fuchsiawharf.core.routing;

/**
 * What one incarnation of an endpoint has stated about itself: that it leaves, the requests that it accepts, whether it
 * is cold, and whether it is brittle.
 *
 * <p>A statement that the endpoint leaves is never withdrawn. Confined to the decision loop.
 */
final class EndpointNotices {
    private final RequestLimit requestLimit = new RequestLimit();
    private final Brittleness brittleness = new Brittleness();
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

    Brittleness getBrittleness() {
        return brittleness;
    }

    /** Checks whether the endpoint has stated nothing. */
    boolean isEmpty() {
        return !leaving
                && !brittleness.isNamed()
                && requestLimit.getPerSecond() == 0
                && requestLimit.getColdUntilNanos() == Long.MIN_VALUE
                && requestLimit.getPausedUntilNanos() == Long.MIN_VALUE;
    }
}
