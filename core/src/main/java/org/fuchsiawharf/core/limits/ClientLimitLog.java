package org.fuchsiawharf.core.limits;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.time.Clock;

/**
 * Counts the clients that exceeded a limit, and logs a bounded number of them.
 *
 * <p>Confined to one thread.
 */
public final class ClientLimitLog {
    /** Lines in one second; a crowd of clients would fill the log, and the queue of its lines. */
    private static final int MAX_LINES_PER_SECOND = 10;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final String port;
    private final Clock clock;
    private final DecisionLog log;
    private final Meters meters;
    private long secondStartNanos;
    private int linesInSecond;
    private long suppressed;

    /**
     * Creates a log.
     *
     * @param port the name of the port that the clients use, not null
     * @param clock the clock, not null
     * @param log receives the lines, not null
     * @param meters counts all clients, not null
     */
    public ClientLimitLog(String port, Clock clock, DecisionLog log, Meters meters) {
        this.port = port;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.secondStartNanos = clock.nanos();
    }

    /**
     * Records that a client was refused or its connection closed.
     *
     * @param address the address of the client, not null
     * @param limit the name of the limit, not null
     */
    public void onLimited(String address, String limit) {
        meters.count("clients_limited", port + "." + limit);
        long nowNanos = clock.nanos();
        if (nowNanos - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = nowNanos;
            linesInSecond = 0;
        }
        if (linesInSecond >= MAX_LINES_PER_SECOND) {
            suppressed++;
            return;
        }
        linesInSecond++;
        log.write("caller.limited", "port", port, "address", address, "limit", limit, "suppressed_before", suppressed);
        suppressed = 0;
    }
}
