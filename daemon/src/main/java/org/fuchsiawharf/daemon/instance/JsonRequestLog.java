package org.fuchsiawharf.daemon.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import org.fuchsiawharf.core.port.RequestLog;
import org.fuchsiawharf.http.JsonText;

/**
 * Writes one JSON line for each ended request.
 *
 * <p>Thread-safe.
 */
final class JsonRequestLog implements RequestLog {
    /** The logger of request lines, whose messages are JSON already. */
    static final String NAME = "org.fuchsiawharf.requests";

    private static final Logger LOG = System.getLogger(NAME);

    @Override
    public void record(Entry entry) {
        if (LOG.isLoggable(Level.INFO)) {
            LOG.log(Level.INFO, JsonText.write(entry));
        }
    }
}
