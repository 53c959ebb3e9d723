package org.fuchsiawharf.daemon;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import org.fuchsiawharf.http.JsonText;

/**
 * Formats each log record as one line of JSON.
 *
 * <p>Messages of the request log are already JSON and are embedded as the member {@code request}. Stateless and
 * thread-safe.
 */
public final class JsonLineFormatter extends Formatter {
    private static final String REQUEST_LOGGER = "org.fuchsiawharf.requests";

    /** Creates a formatter. */
    public JsonLineFormatter() {}

    @Override
    public String format(LogRecord record) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        if (REQUEST_LOGGER.equals(record.getLoggerName())) {
            String prefix = JsonText.write(line);
            return prefix.substring(0, prefix.length() - 1) + ",\"request\":" + record.getMessage() + "}\n";
        }
        line.put("logger", String.valueOf(record.getLoggerName()));
        line.put("message", formatMessage(record));
        Throwable exception = record.getThrown();
        if (exception != null) {
            StringWriter stackTrace = new StringWriter();
            exception.printStackTrace(new PrintWriter(stackTrace));
            line.put("error", stackTrace.toString());
        }
        return JsonText.write(line) + "\n";
    }
}
