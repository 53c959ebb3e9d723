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
 * Decision log that writes one JSON object per line.
 *
 * <p>A background thread writes the lines from a bounded queue. A line is dropped and counted if the queue is full;
 * the next line written contains the number of dropped lines. Thread-safe.
 */
public final class JsonLineLog implements DecisionLog, AutoCloseable {
    /** Capacity of the queue in lines, about one second of output of a busy instance. */
    private static final int QUEUE_CAPACITY = 2_048;
    /** Delay during which lines are collected into one write, which limits the write rate of a busy instance. */
    private static final long BATCH_DELAY_MILLIS = 100;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private record Line(long millis, String event, @Nullable Object[] fields) {}

    private final String instance;
    private final OutputStream out;
    private final JsonFactory json = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Meters meters;
    private final Thread writer = new Thread(this::run, "log");
    private volatile boolean running = true;

    /**
     * Creates a log and starts its writer thread.
     *
     * @param instance the name of the instance, written in each line, not null
     * @param out the stream to write to, not null
     * @param meters the metrics that count dropped lines, not null
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

    /** Writes the queued lines and stops the writer thread. */
    @Override
    public void close() {
        running = false;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
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
                    Thread.sleep(BATCH_DELAY_MILLIS);
                    writeQueued(first);
                    first = null;
                }
            } catch (InterruptedException e) {
                break;
            }
        }
        writeQueued(first == null ? queue.poll() : first);
    }

    private void writeQueued(@Nullable Line first) {
        try (JsonGenerator generator = json.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            for (Line line = first; line != null; line = queue.poll()) {
                writeLine(generator, line);
            }
        } catch (IOException e) {
            // The output failed, for example because its reader closed it. The lines of this batch that were not yet
            // written are lost; the instance keeps serving, and the next batch is written again.
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
        long droppedBefore = dropped.getAndSet(0);
        if (droppedBefore > 0) {
            generator.writeNumberField("lines_dropped_before", droppedBefore);
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
