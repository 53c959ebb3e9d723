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
    /** The name of the request logger, whose messages are already JSON. */
    static final String LOGGER_NAME = "org.fuchsiawharf.requests";

    private static final Logger LOG = System.getLogger(LOGGER_NAME);

    @Override
    public void record(Entry entry) {
        if (LOG.isLoggable(Level.INFO)) {
            LOG.log(Level.INFO, JsonText.write(entry));
        }
    }
}
