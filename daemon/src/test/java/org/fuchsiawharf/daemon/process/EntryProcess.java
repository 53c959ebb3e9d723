package org.fuchsiawharf.daemon.process;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.daemon.Main;
import org.fuchsiawharf.http.client.HttpTarget;

/** An entry instance that runs in its own process. */
final class EntryProcess implements AutoCloseable {
    private static final String PORT_PREFIX = "listens on 127.0.0.1:";

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

    /** Waits until the process has logged the port on which it listens, and returns its address. */
    HttpTarget awaitTarget() throws IOException, InterruptedException {
        for (int i = 0; i < 600; i++) {
            String logText = Files.readString(log, StandardCharsets.UTF_8);
            int index = logText.indexOf(PORT_PREFIX);
            if (index >= 0 && logText.indexOf('\n', index) > 0) {
                String port = logText.substring(index + PORT_PREFIX.length(), logText.indexOf('\n', index));
                return new HttpTarget("127.0.0.1", Integer.parseInt(port.trim()));
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError(
                "entry process did not log its port within 30 s: " + Files.readString(log, StandardCharsets.UTF_8));
    }

    void kill() {
        process.destroyForcibly();
    }

    void terminate() {
        process.destroy();
    }

    /** Sends a signal such as STOP or CONT by the kill command, because Java has no method for it. */
    void signal(String signalName) throws IOException, InterruptedException {
        int exitStatus = new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (exitStatus != 0) {
            throw new AssertionError("kill -" + signalName + " exited with status " + exitStatus);
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
