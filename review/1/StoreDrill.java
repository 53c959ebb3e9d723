package review;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Case 1: a configuration is acknowledged after the store has come back from a copy that is some seconds old. */
public final class StoreDrill {
    private static final int WORKERS_PER_SERVICE = 6;
    private static final long PING_MILLIS = 1_200;
    private static final long STEADY_MILLIS = 9_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long COPY_AGE_MILLIS = 6_000;
    /** More than contact_ms, so that the store counts as stable when it acknowledges the configuration. */
    private static final long CHANGE_AFTER_MILLIS = 3_300;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long OBSERVED_MILLIS = 12_000;
    private static final String HOST = "pule25.example";

    private StoreDrill() {}

    private static String config(int version, String service) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/lookup/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,"
                + "\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"stages\":[],\"public\":true,\"session_affinity\":false}],\"services\":["
                + "{\"name\":\"svc-a\",\"health_check\":\"/health\",\"max_connections\":110},"
                + "{\"name\":\"svc-b\",\"health_check\":\"/health\",\"max_connections\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private static boolean answer(Worker.Request request, String service) throws Exception {
        request.readBody();
        request.answer(
                200, "X-Fuchsiawharf-Server-Stamp: stamp\r\n", service.getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    public static void main(String[] args) {
        Verdict.exitWith(StoreDrill::check);
    }

    private static int check() throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> hosts = Deployment.findHosts(5);
        InetSocketAddress storeAddress = new InetSocketAddress(hosts.get(3), 8624);
        try (Record record = new Record("review/1/record.txt");
                Deployment deployment = new Deployment(storeAddress)) {
            return run(trouble, hosts, storeAddress, deployment, record);
        }
    }

    private static int run(
            boolean trouble, List<String> hosts, InetSocketAddress storeAddress, Deployment deployment, Record record)
            throws Exception {
        Store store = new Store(storeAddress);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 2 * WORKERS_PER_SERVICE; i++) {
            String service = i % 2 == 0 ? "svc-a" : "svc-b";
            workers.add(new Worker("i-" + i, service, "lim-a", hosts.get(4), 0, r -> answer(r, service)));
        }
        record.write("the operator writes version 1, r-1 goes to svc-a: revision "
                + store.put("op/config", config(1, "svc-a")));
        Thread pings = new Thread(() -> ping(store, workers));
        pings.setDaemon(true);
        pings.start();
        deployment.start(hosts.subList(0, 3), "lim-a");
        record.write("3 instances are ready");
        Client.sleep(STEADY_MILLIS);
        if (trouble) {
            record.write("the store goes away at revision " + store.getRevision());
            store.goAway();
            Client.sleep(AWAY_MILLIS);
            store.comeBack(COPY_AGE_MILLIS);
            record.write("the store is back from a copy " + COPY_AGE_MILLIS + " ms old, at revision "
                    + store.getRevision() + " and under the next Store-Era");
            record.write("the operator writes version 1 again: revision "
                    + store.put("op/config", config(1, "svc-a")));
        } else {
            Client.sleep(AWAY_MILLIS);
        }
        Client.sleep(CHANGE_AFTER_MILLIS);
        long revision = store.put("op/config", config(2, "svc-b"));
        long ackMillis = record.millis();
        record.write("the store acknowledges version 2, r-1 goes to svc-b: revision " + revision);
        return observe(deployment, record, ackMillis);
    }

    private static void ping(Store store, List<Worker> workers) {
        while (true) {
            for (Worker worker : workers) {
                store.put("servers/" + worker.id, worker.entry("ready"));
                Client.sleep(PING_MILLIS / workers.size());
            }
        }
    }

    private static int observe(Deployment deployment, Record record, long ackMillis) throws Exception {
        Map<String, Integer> counts = new TreeMap<>();
        List<Client> clients = new ArrayList<>();
        deployment.instances().forEach(instance -> clients.add(new Client(instance.front(), 0)));
        int stale = 0;
        int served = 0;
        while (record.millis() < ackMillis + OBSERVED_MILLIS) {
            for (int i = 0; i < clients.size(); i++) {
                String name = deployment.instances().get(i).name();
                String id = Client.newId();
                long sent = record.millis() - ackMillis;
                clients.get(i).send("GET", HOST, "/lookup/" + id, id, 1_500, "", null);
                Client.Answer answer = clients.get(i).read();
                String by = new String(answer.body(), StandardCharsets.ISO_8859_1);
                record.write(name + " request " + id + " sent " + sent + " ms after the ack: " + answer.status() + " "
                        + by + " " + answer.end());
                boolean late = sent > CONFIG_APPLY_MILLIS;
                served += answer.status() == 200 ? 1 : 0;
                stale += late && answer.status() == 200 && by.equals("svc-a") ? 1 : 0;
                counts.merge(name + (late ? " late " : " early ") + by, 1, Integer::sum);
            }
            Client.sleep(250);
        }
        record.write("answers by instance, time and service: " + counts);
        record.write(stale + " requests sent later than " + CONFIG_APPLY_MILLIS
                + " ms after the ack ran at svc-a, to which only version 1 sends them");
        System.out.println("stale: " + stale + " of " + served + " " + counts);
        return served == 0 ? Verdict.COULD_NOT_RUN : stale > 0 ? Verdict.BROKEN : Verdict.HELD;
    }
}
