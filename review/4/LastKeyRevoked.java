package review;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Case 4: the operator takes the last key of the tenant away; the tenant stays in the configuration. */
public final class LastKeyRevoked {
    private static final int WORKERS = 3;
    private static final long PING_MILLIS = 1_200;
    private static final long STEADY_MILLIS = 4_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final int REQUESTS_OF_EACH_KIND = 20;
    private static final String HOST = "pule25.example";
    private static final String TENANT = "bozi300";
    private static final String FIRST_KEY = "9dnn2ctnfzs989anu6ws";
    private static final String LAST_KEY = "jnbanfqasnmgkcuyj8pj";
    private static final String UNKNOWN_KEY = "0000000000000000zzzz";

    private LastKeyRevoked() {}

    private static String config(int version, String keys) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/check/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,"
                + "\"target_latency_ms\":300,\"priority\":1,\"service\":\"svc-a\",\"max_attempts\":1,\"stages\":[],"
                + "\"public\":false,\"session_affinity\":false}],\"services\":["
                + "{\"name\":\"svc-a\",\"health_check\":\"/health\",\"max_connections\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[" + keys + "]}]}";
    }

    public static void main(String[] args) {
        Verdict.exitWith(LastKeyRevoked::check);
    }

    private static int check() throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> hosts = Deployment.findHosts(4);
        InetSocketAddress storeAddress = new InetSocketAddress(hosts.get(2), 8624);
        try (Record record = new Record("review/4/record.txt");
                Deployment deployment = new Deployment(storeAddress)) {
            return run(trouble, hosts, storeAddress, deployment, record);
        }
    }

    private static int run(
            boolean trouble, List<String> hosts, InetSocketAddress storeAddress, Deployment deployment, Record record)
            throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Store store = new Store(storeAddress);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker("i-" + i, "svc-a", "lim-a", hosts.get(3), 0, request -> {
                request.readBody();
                ran.add(request.id());
                String tenant = request.field("X-Fuchsiawharf-Tenant");
                record.write("worker: runs request " + request.id() + ", tenant "
                        + (tenant.isEmpty() ? "none" : tenant));
                request.answer(200, "X-Fuchsiawharf-Server-Stamp: stamp\r\n", new byte[800]);
                return true;
            }));
        }
        store.put("op/config", config(1, quote(FIRST_KEY) + "," + quote(LAST_KEY)));
        Thread pings = new Thread(() -> {
            while (true) {
                workers.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
                Client.sleep(PING_MILLIS);
            }
        });
        pings.setDaemon(true);
        pings.start();
        deployment.start(hosts.subList(0, 2), "lim-a");
        Client.sleep(STEADY_MILLIS);
        int before = send(deployment, LAST_KEY, "valid key", ran, record, record.millis());
        store.put("op/config", config(2, quote(LAST_KEY)));
        record.write("the store acknowledges version 2: the first key of " + TENANT + " is taken away");
        Client.sleep(1_500);
        if (trouble) {
            store.put("op/config", config(3, ""));
            record.write("the store acknowledges version 3: the last key of " + TENANT + " is taken away");
        }
        long ackMillis = record.millis();
        Client.sleep(2 * CONFIG_APPLY_MILLIS);
        int revoked = send(deployment, trouble ? LAST_KEY : FIRST_KEY, "revoked key", ran, record, ackMillis);
        int unknown = send(deployment, UNKNOWN_KEY, "key of no configuration", ran, record, ackMillis);
        int valid = trouble ? before : send(deployment, LAST_KEY, "valid key", ran, record, ackMillis);
        record.write("ran: " + revoked + " requests with a revoked key and " + unknown
                + " with a key that no configuration ever held; " + valid + " with a valid key"
                + (trouble ? ", before the keys were taken away" : ""));
        System.out.println("ran with a revoked key: " + revoked + ", with a key of no configuration: " + unknown
                + ", with a valid key" + (trouble ? " before" : "") + ": " + valid);
        if (valid == 0) {
            return Verdict.COULD_NOT_RUN;
        }
        return revoked + unknown > 0 ? Verdict.BROKEN : Verdict.HELD;
    }

    private static String quote(String key) {
        return "\"" + key + "\"";
    }

    private static int send(
            Deployment deployment, String key, String kind, Set<String> ran, Record record, long ackMillis)
            throws Exception {
        Map<Integer, Integer> statuses = new TreeMap<>();
        int count = 0;
        for (int i = 0; i < REQUESTS_OF_EACH_KIND; i++) {
            Deployment.Instance instance =
                    deployment.instances().get(i % deployment.instances().size());
            String id = Client.newId();
            try (Client client = new Client(instance.front(), 0)) {
                long sent = record.millis() - ackMillis;
                byte[] body = "verdict".getBytes(StandardCharsets.ISO_8859_1);
                client.send("POST", HOST, "/check/" + id, id, 1_500, "X-Api-Key: " + key + "\r\n", body);
                Client.Answer answer = client.read();
                record.write(instance.name() + " request " + id + " with a " + kind + ", sent " + sent
                        + " ms after the ack: " + answer.status() + (ran.contains(id) ? ", ran" : ", not run"));
                statuses.merge(answer.status(), 1, Integer::sum);
                count += ran.contains(id) ? 1 : 0;
            }
        }
        record.write("requests with a " + kind + " by status: " + statuses);
        return count;
    }
}
