package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: one line for each event, with the milliseconds since the start. Thread-safe. */
public final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Record(String path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(path)));
    }

    public long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void write(String text) {
        out.println(millis() + " ms: " + text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
