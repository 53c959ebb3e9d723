package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes the events of a stream on to one caller, whichever call to an endpoint brings them.
 *
 * <p>The caller gets the head of the first call and then each event once, in order of its id and without a gap. What
 * breaks that order is taken for a fault of the call and is not passed on. Confined to the I/O thread.
 */
final class StreamRelay {
    private final CallerConnection connection;
    private long lastId;
    private boolean any;
    private boolean begun;

    /**
     * Creates a relay.
     *
     * @param connection the caller's connection, not null
     * @param resumedAfter the id of the last event that the caller has, -1 if it has none
     */
    StreamRelay(CallerConnection connection, long resumedAfter) {
        this.connection = connection;
        this.any = resumedAfter >= 0;
        this.lastId = resumedAfter;
    }

    /** Tells whether the caller has the head. */
    boolean isBegun() {
        return begun;
    }

    /** Gets the id of the last event that the caller has, -1 if it has none. */
    long getLastId() {
        return any ? lastId : -1;
    }

    /** Passes the head on, unless an earlier call's head was. */
    void begin(int status, HttpHeaders fields) {
        if (!begun) {
            begun = true;
            connection.startStream(status, fields);
        }
    }

    /** What became of an event. */
    enum Passed {
        /** It was passed on. */
        YES,
        /** The caller has it already. */
        REPEATED,
        /** Events before it are missing. */
        GAP
    }

    /** Passes an event on if it is the next one; the buffer is consumed. */
    Passed pass(EventParser.StreamEvent event) {
        ByteBuf bytes = event.bytes();
        if (event.hasId() && any && event.id() <= lastId) {
            bytes.release();
            return Passed.REPEATED;
        }
        if (event.hasId() && any && event.id() > lastId + 1) {
            bytes.release();
            return Passed.GAP;
        }
        if (event.hasId()) {
            any = true;
            lastId = event.id();
        }
        connection.writeStream(bytes);
        return Passed.YES;
    }
}
