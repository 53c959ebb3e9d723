package org.fuchsiawharf.core.log;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Writes one line of JSON for each decision.
 *
 * <p>Lines wait in a bounded queue for a thread that writes them; a line that finds the queue full is dropped and
 * counted, and the count stands in the next line. Thread-safe.
 */
public final class JsonLineLog implements DecisionLog, AutoCloseable {
    /** Lines that wait at most; about a second of a busy instance's lines. */
    private static final int QUEUE_LINES = 2_048;
    /** How long lines are gathered for one write, so that a busy instance writes seldom. */
    private static final long GATHER_MILLIS = 100;

    private static final long CLOSE_MILLIS = 500;

    private record Line(long millis, String event, @Nullable Object[] fields) {}

    private final String instance;
    private final OutputStream out;
    private final JsonFactory json = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Meters meters;
    private final Thread writer = new Thread(this::run, "log");
    private volatile boolean running = true;

    /**
     * Creates a log and starts its thread.
     *
     * @param instance the instance's name, which stands in each line, not null
     * @param out where lines go, not null
     * @param meters takes the count of dropped lines, not null
     */
    public JsonLineLog(String instance, OutputStream out, Meters meters) {
        this.instance = instance;
        this.out = out;
        this.meters = meters;
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void write(String event, @Nullable Object... fields) {
        if (!queue.offer(new Line(System.currentTimeMillis(), event, fields))) {
            dropped.incrementAndGet();
            meters.count("log_lines_dropped", event);
        }
    }

    /** Writes what waits and stops. */
    @Override
    public void close() {
        running = false;
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        Line first = null;
        while (running) {
            try {
                first = queue.poll(1, TimeUnit.SECONDS);
                if (first != null) {
                    Thread.sleep(GATHER_MILLIS);
                    writeAll(first);
                    first = null;
                }
            } catch (InterruptedException e) {
                break;
            }
        }
        writeAll(first == null ? queue.poll() : first);
    }

    private void writeAll(@Nullable Line first) {
        try (JsonGenerator generator = json.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            for (Line line = first; line != null; line = queue.poll()) {
                writeLine(generator, line);
            }
        } catch (IOException e) {
            // Nobody reads the lines any more; serving goes on without them.
            meters.count("log_lines_dropped", "output closed");
        }
    }

    private void writeLine(JsonGenerator generator, Line line) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("time", Instant.ofEpochMilli(line.millis()).toString());
        generator.writeStringField("instance", instance);
        generator.writeStringField("event", line.event());
        for (int i = 0; i + 1 < line.fields().length; i += 2) {
            generator.writeFieldName(String.valueOf(line.fields()[i]));
            writeValue(generator, line.fields()[i + 1]);
        }
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            generator.writeNumberField("lines_dropped_before", lost);
        }
        generator.writeEndObject();
        generator.writeRaw('\n');
    }

    private static void writeValue(JsonGenerator generator, @Nullable Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Number number) {
            generator.writeNumber(number.doubleValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }
}
