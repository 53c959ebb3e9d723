package org.fuchsiawharf.daemon.process;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.daemon.Main;
import org.fuchsiawharf.http.client.HttpTarget;

/** One entry instance as a process of its own. */
final class EntryProcess implements AutoCloseable {
    private static final String LISTENS = "listens on 127.0.0.1:";

    private final Process process;
    private final Path log;

    EntryProcess(Path folder, String name, String zone, int platformPort, String configuration) throws IOException {
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(folder.resolve("configuration.yaml"), configuration);
        Files.writeString(
                settings,
                "instance: {name: " + name + ", zone: " + zone + ", port: 0}\n"
                        + "platform: {address: \"127.0.0.1:" + platformPort + "\", directoryMillis: 200}\n"
                        + "operators: [{name: ops, token: process-token}]\n"
                        + "shutdown: {notReadyMillis: 500, drainMillis: 20000}\n");
        log = folder.resolve(name + ".log");
        File output = log.toFile();
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "entry",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    /** Waits until the process says where it listens. */
    HttpTarget awaitTarget() throws IOException, InterruptedException {
        for (int i = 0; i < 600; i++) {
            String text = Files.readString(log, StandardCharsets.UTF_8);
            int at = text.indexOf(LISTENS);
            if (at >= 0 && text.indexOf('\n', at) > 0) {
                String port = text.substring(at + LISTENS.length(), text.indexOf('\n', at));
                return new HttpTarget("127.0.0.1", Integer.parseInt(port.trim()));
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("the process does not listen: " + Files.readString(log, StandardCharsets.UTF_8));
    }

    void kill() {
        process.destroyForcibly();
    }

    void terminate() {
        process.destroy();
    }

    /** Sends SIGSTOP or SIGCONT, which Java has no call for. */
    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new AssertionError("kill -" + name + " ended with " + code);
        }
    }

    boolean awaitExit() throws InterruptedException {
        return process.waitFor(60, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
