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
 * <p>A message of the request log is JSON already and becomes the member {@code request}. Stateless and
 * thread-safe.
 */
public final class JsonLineFormatter extends Formatter {
    private static final String REQUESTS = "org.fuchsiawharf.requests";

    /** Creates a formatter. */
    public JsonLineFormatter() {}

    @Override
    public String format(LogRecord record) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        if (REQUESTS.equals(record.getLoggerName())) {
            String head = JsonText.write(line);
            return head.substring(0, head.length() - 1) + ",\"request\":" + record.getMessage() + "}\n";
        }
        line.put("logger", String.valueOf(record.getLoggerName()));
        line.put("message", formatMessage(record));
        Throwable thrown = record.getThrown();
        if (thrown != null) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            line.put("error", trace.toString());
        }
        return JsonText.write(line) + "\n";
    }
}
