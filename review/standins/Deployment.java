package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Starts the programs of the deploy file as processes, each on a loopback address of its own. */
public final class Deployment implements AutoCloseable {
    private static final int FRONT = 8625;
    private static final int READY = 8621;
    private static final int CONTROL = 8628;
    private static final int METRICS = 9464;
    private static final int FIRST_INTERNAL = 7740;
    private static final int LAST_INTERNAL = 7755;

    /** One process of the system. */
    public record Instance(String name, String host, Process process) {
        public InetSocketAddress front() {
            return new InetSocketAddress(host, FRONT);
        }

        public void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    private final Path folder;
    private final InetSocketAddress store;
    private final List<Instance> instances = new ArrayList<>();

    public Deployment(InetSocketAddress store) throws IOException {
        this.store = store;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    public List<Instance> instances() {
        return instances;
    }

    /** Finds loopback addresses at which no port of an instance is in use. */
    public static List<String> findHosts(int count) throws IOException {
        List<String> hosts = new ArrayList<>();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (hosts.size() < count) {
            String host = "127." + random.nextInt(20, 250) + "." + random.nextInt(250) + "." + random.nextInt(2, 250);
            boolean free = !hosts.contains(host);
            for (int port : new int[] {FRONT, READY, CONTROL, METRICS, FIRST_INTERNAL}) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(host, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                hosts.add(host);
            }
        }
        return hosts;
    }

    /** Starts instances in one zone and waits until all say that they are ready. */
    public void start(List<String> hosts, String zone) throws Exception {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" +"));
        String seeds = String.join(",", hosts.stream().limit(3).map(host -> host + ":" + CONTROL).toList());
        for (int i = 0; i < hosts.size(); i++) {
            String name = "edge-" + zone + "-" + (i + 1);
            Path settings = folder.resolve(name + ".conf");
            Files.writeString(settings, settings(name, hosts.get(i), zone, seeds));
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("FUCHSIAWHARF_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + ".log").toFile());
            instances.add(new Instance(name, hosts.get(i), builder.start()));
        }
        for (Instance instance : instances) {
            awaitReady(instance);
        }
    }

    private static void awaitReady(Instance instance) throws Exception {
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < deadline) {
            try {
                HttpURLConnection call = (HttpURLConnection)
                        new URL("http://" + instance.host() + ":" + READY + "/api/readiness").openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                if (call.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException(instance.name() + " is not ready after 20 s");
    }

    private String settings(String name, String host, String zone, String seeds) {
        return String.join(
                "\n",
                "node=" + name,
                "role=entry",
                "machine_class=edge",
                "serves=edge,control_plane",
                "ip=" + host,
                "zone=" + zone,
                "region=lima",
                "zones." + zone + "=lima",
                "listen.front=" + host + ":" + FRONT,
                "listen.ready=" + host + ":" + READY,
                "listen.control=" + host + ":" + CONTROL,
                "internal_port_range=" + FIRST_INTERNAL + "," + LAST_INTERNAL,
                "seeds=" + seeds,
                "bootstrap=true",
                "limits.cpu_share=0.75",
                "limits.cores=1",
                "limits.memory_mb=430",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "limits.disk_mb=0",
                "discovery=platform",
                "entry=vip",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
                "bounds.contact_ms=3000",
                "bounds.drain_timeout_ms=2000",
                "bounds.grace_period_s=8",
                "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=2000",
                "bounds.max_stretch_ms=5000",
                "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10",
                "bounds.retry_budget_slack=58",
                "platform.address=" + store.getHostString() + ":" + store.getPort(),
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.min_ttl_ms=1000",
                "");
    }

    public String log(Instance instance) throws IOException {
        return Files.readString(folder.resolve(instance.name() + ".log"));
    }

    @Override
    public void close() {
        for (Instance instance : instances) {
            instance.process().destroyForcibly();
            try {
                instance.process().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept != null && file.toString().endsWith(".log")) {
                    Files.copy(file, Path.of(kept).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                File f = file.toFile();
                f.delete();
            }
        } catch (IOException e) {
            // The folder was deleted before.
        }
    }
}
