package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Forwards the events of one stream to its caller across several attempts.
 *
 * <p>The caller receives the response head of the first attempt, then each event exactly once, in order of the event
 * ids and without gaps. Duplicates are dropped; a gap fails the attempt. All events are of one software version. The
 * events of one read are written together, so that many small ones do not occupy the I/O thread. Confined to the I/O
 * thread.
 */
final class StreamRelay {
    private final CallerConnection connection;
    private long lastId;
    private boolean hasLastId;
    private boolean headSent;
    private @Nullable String version;
    private @Nullable ByteBuf unwritten;

    /**
     * Creates a relay.
     *
     * @param connection the caller's connection, not null
     * @param lastReceivedId the id of the last event that the caller has received, -1 if it has none
     */
    StreamRelay(CallerConnection connection, long lastReceivedId) {
        this.connection = connection;
        this.hasLastId = lastReceivedId >= 0;
        this.lastId = lastReceivedId;
    }

    /** Checks whether an endpoint of a software version may go on with the stream. */
    boolean mayContinueAt(String endpointVersion) {
        return version == null || version.equals(endpointVersion);
    }

    /** Checks whether the response head has been sent to the caller. */
    boolean isHeadSent() {
        return headSent;
    }

    /** Gets the id of the last event sent to or already received by the caller, -1 if there is none. */
    long getLastId() {
        return hasLastId ? lastId : -1;
    }

    /** Sends the response head, unless the head of an earlier attempt was sent. */
    void sendHead(int status, HttpHeaders fields) {
        if (!headSent) {
            headSent = true;
            connection.startStream(status, fields);
        }
    }

    /** The result of forwarding an event. */
    enum Result {
        /** The event is sent to the caller with the next {@link #flush}. */
        FORWARDED,
        /** The caller already has the event. */
        DUPLICATE,
        /** Events before this event are missing. */
        GAP
    }

    /** Forwards an event if it is the next one in order; {@link #flush} writes it. */
    Result forward(EventParser.StreamEvent event, String endpointVersion) {
        if (event.hasId() && hasLastId && event.id() <= lastId) {
            return Result.DUPLICATE;
        }
        if (event.hasId() && hasLastId && event.id() > lastId + 1) {
            return Result.GAP;
        }
        if (event.hasId()) {
            hasLastId = true;
            lastId = event.id();
        }
        version = endpointVersion;
        append(event.bytes());
        return Result.FORWARDED;
    }

    /** Forwards bytes that follow the last event; {@link #flush} writes them. */
    void append(ByteBuf bytes) {
        ByteBuf target = unwritten;
        if (target == null && bytes.isReadable()) {
            target = Unpooled.buffer(bytes.readableBytes());
            unwritten = target;
        }
        if (target != null) {
            target.writeBytes(bytes);
        }
    }

    /** Writes the forwarded events to the caller. */
    void flush() {
        ByteBuf bytes = unwritten;
        unwritten = null;
        if (bytes != null) {
            connection.writeEvents(bytes);
        }
    }
}
