package org.fuchsiawharf.peer;

import java.util.function.LongConsumer;

import io.netty.channel.Channel;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.limits.ClientLimitLog;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the accepted connections of the peer port, which anyone may open.
 *
 * <p>If there are too many, the one that has been silent for longest is closed; connections that carry tunnels are not
 * silent. If their incomplete frames take too much memory, the one that holds most is closed. Confined to the I/O thread.
 */
public final class AcceptedConnections {
    /** Memory of an incomplete first frame; it states a name or asks for a tunnel, in well under 1 KB. */
    private static final int MAX_FIRST_FRAME_BYTES = 64 * 1_024;

    private final CallerMemory memory;
    private final ClientLimitLog limitLog;

    /**
     * Creates a count without connections.
     *
     * @param memory decides which connections are closed, not null
     * @param limitLog records them, not null
     */
    public AcceptedConnections(CallerMemory memory, ClientLimitLog limitLog) {
        this.memory = memory;
        this.limitLog = limitLog;
    }

    /** One accepted connection. */
    final class Accepted implements LongConsumer {
        private final Channel channel;
        private final CallerMemory.@Nullable Account account;
        private boolean hasFrame;

        private Accepted(Channel channel) {
            this.channel = channel;
            CallerMemory.Account opened = memory.open(limit -> close(channel, limit.getSetting()));
            account = opened;
            if (opened == null) {
                close(channel, CallerMemory.Limit.MAX_CONNECTIONS.getSetting());
            } else {
                channel.closeFuture().addListener(done -> opened.close());
            }
        }

        /** Sets the memory that an incomplete frame takes, in bytes. */
        @Override
        public void accept(long bytes) {
            if (!hasFrame && bytes > MAX_FIRST_FRAME_BYTES) {
                close(channel, "first_frame");
            } else if (account != null) {
                account.setBytes(bytes);
            }
        }

        void onFrame() {
            hasFrame = true;
            if (account != null) {
                account.touch();
            }
        }

        void onTunnel() {
            if (account != null) {
                account.setState(CallerMemory.State.BUSY);
            }
        }
    }

    Accepted open(Channel channel) {
        return new Accepted(channel);
    }

    // Called while a step of this or another connection is executed.
    private void close(Channel channel, String limit) {
        limitLog.onLimited(String.valueOf(channel.remoteAddress()), limit);
        channel.eventLoop().execute(channel::close);
    }
}
