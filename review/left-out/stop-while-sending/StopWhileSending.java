package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: an instance gets SIGTERM while clients read long answers over slow links. */
public final class StopWhileSending {
    private static final int ANSWER_BYTES = 8_000_000;
    /** The clients' links: 16 Mbit/s, so that an answer takes 4 s. */
    private static final int CLIENT_BYTES_PER_SECOND = 2_000_000;
    private static final int CLIENT_RECEIVE_BUFFER = 32_768;
    private static final int CLIENTS = 3;
    private static final long WORK_MILLIS = 600;
    private static final long STOP_AFTER_MILLIS = 300;
    private static final long GRACE_MILLIS = 8_000;
    private static final String HOST = "pule25.example";

    private StopWhileSending() {}

    private static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/report/\",\"kind\":\"idempotent\",\"timeout_ms\":20000,"
                + "\"target_latency_ms\":8000,\"priority\":1,\"service\":\"svc-a\",\"max_attempts\":2,\"stages\":[],"
                + "\"public\":true,\"session_affinity\":false}],\"services\":["
                + "{\"name\":\"svc-a\",\"health_check\":\"/health\",\"max_connections\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private static boolean answer(Worker.Request request, Record record) throws Exception {
        request.readBody();
        Client.sleep(WORK_MILLIS);
        request.answer(200, "X-Fuchsiawharf-Server-Stamp: stamp\r\n", new byte[ANSWER_BYTES]);
        record.write("worker: has sent its whole answer to request " + request.id());
        return true;
    }

    public static void main(String[] args) {
        Verdict.exitWith(StopWhileSending::check);
    }

    private static int check() throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> hosts = Deployment.findHosts(3);
        InetSocketAddress storeAddress = new InetSocketAddress(hosts.get(1), 8624);
        try (Record record = new Record("review/left-out/stop-while-sending/record.txt");
                Deployment deployment = new Deployment(storeAddress)) {
            return run(trouble, hosts, storeAddress, deployment, record);
        }
    }

    private static int run(
            boolean trouble, List<String> hosts, InetSocketAddress storeAddress, Deployment deployment, Record record)
            throws Exception {
        Store store = new Store(storeAddress);
        store.put("op/config", config());
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker("i-" + i, "svc-a", "lim-a", hosts.get(2), 0, r -> answer(r, record));
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        deployment.start(hosts.subList(0, 1), "lim-a");
        Deployment.Instance instance = deployment.instances().get(0);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread = new Thread(() -> request(instance, whole, cut, record));
            thread.start();
            threads.add(thread);
        }
        Client.sleep(STOP_AFTER_MILLIS);
        if (trouble) {
            record.write("SIGTERM to the instance; grace_period_s is " + GRACE_MILLIS / 1_000);
            instance.signal("TERM");
        }
        for (Thread thread : threads) {
            thread.join(30_000);
        }
        record.write(cut.get() + " of " + CLIENTS + " connections ended without a complete answer, " + whole.get()
                + " answers were complete");
        System.out.println("cut: " + cut.get() + ", whole: " + whole.get());
        return cut.get() + whole.get() < CLIENTS ? Verdict.COULD_NOT_RUN : cut.get() > 0 ? Verdict.BROKEN : Verdict.HELD;
    }

    private static void request(
            Deployment.Instance instance, AtomicInteger whole, AtomicInteger cut, Record record) {
        String id = Client.newId();
        try (Client client = new Client(instance.front(), CLIENT_RECEIVE_BUFFER)) {
            client.bytesPerSecond = CLIENT_BYTES_PER_SECOND;
            client.send("GET", HOST, "/report/" + id, id, 20_000, "", null);
            record.write("client: sent request " + id);
            Client.Answer answer = client.read();
            boolean complete = answer.complete();
            (complete ? whole : cut).incrementAndGet();
            record.write("client: request " + id + ": " + answer.status() + ", " + answer.body().length
                    + " of " + ANSWER_BYTES + " bytes, " + answer.end());
        } catch (Exception e) {
            record.write("client: request " + id + " failed: " + e);
        }
    }
}
