package review;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 2: a worker answers without a length before it has read a long body, and breaks off by a reset. */
public final class ResetWithinBody {
    private static final int REQUESTS = 20;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 60_000;
    private static final int SENT_BEFORE_RESET = 20_000;
    private static final int WORKER_RECEIVE_BUFFER = 32_768;
    private static final String HOST = "pule25.example";

    private ResetWithinBody() {}

    private static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/check/\",\"kind\":\"non_idempotent\",\"timeout_ms\":5000,"
                + "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"svc-a\",\"max_attempts\":1,\"stages\":[],"
                + "\"public\":true,\"session_affinity\":false}],\"services\":["
                + "{\"name\":\"svc-a\",\"health_check\":\"/health\",\"max_connections\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private static byte[] body(String id) {
        byte[] body = new byte[ANSWER_BYTES];
        byte[] text = (id + " ").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body.length; i++) {
            body[i] = text[i % text.length];
        }
        return body;
    }

    private static boolean answer(Worker.Request request, boolean trouble, AtomicInteger resets, Record record)
            throws Exception {
        byte[] body = body(request.id());
        request.out.write(("HTTP/1.1 200 OK\r\nX-Fuchsiawharf-Request-Id: " + request.id()
                        + "\r\nX-Fuchsiawharf-Server-Stamp: stamp\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        request.out.write(body, 0, SENT_BEFORE_RESET);
        request.out.flush();
        Client.sleep(200);
        if (trouble) {
            resets.incrementAndGet();
            record.write("worker: resets request " + request.id() + " after " + SENT_BEFORE_RESET + " of " + ANSWER_BYTES
                    + " bytes of its answer");
            request.socket.setSoLinger(true, 0);
            return false;
        }
        request.readBody();
        request.out.write(body, SENT_BEFORE_RESET, ANSWER_BYTES - SENT_BEFORE_RESET);
        request.out.flush();
        record.write("worker: ends the whole answer to request " + request.id() + " by closing the connection");
        return false;
    }

    public static void main(String[] args) {
        Verdict.exitWith(ResetWithinBody::check);
    }

    private static int check() throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> hosts = Deployment.findHosts(3);
        InetSocketAddress storeAddress = new InetSocketAddress(hosts.get(1), 8624);
        try (Record record = new Record("review/2/record.txt");
                Deployment deployment = new Deployment(storeAddress)) {
            return run(trouble, hosts, storeAddress, deployment, record);
        }
    }

    private static int run(
            boolean trouble, List<String> hosts, InetSocketAddress storeAddress, Deployment deployment, Record record)
            throws Exception {
        AtomicInteger resets = new AtomicInteger();
        Store store = new Store(storeAddress);
        Worker worker = new Worker(
                "i-1",
                "svc-a",
                "lim-a",
                hosts.get(2),
                WORKER_RECEIVE_BUFFER,
                request -> answer(request, trouble, resets, record));
        store.put("op/config", config());
        store.put("servers/" + worker.id, worker.entry("ready"));
        deployment.start(hosts.subList(0, 1), "lim-a");
        int truncated = 0;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            try (Client client = new Client(deployment.instances().get(0).front(), 0)) {
                client.send("POST", HOST, "/check/" + id, id, 5_000, "", new byte[REQUEST_BYTES]);
                Client.Answer answer = client.read();
                boolean success = answer.status() / 100 == 2 && answer.complete();
                boolean whole = Arrays.equals(answer.body(), body(id));
                record.write("client: request " + id + ": " + answer.status() + ", " + answer.body().length
                        + " bytes, " + answer.end() + ", content-length " + answer.field("Content-Length")
                        + ", stamp " + answer.field("X-Fuchsiawharf-Server-Stamp"));
                served += success && whole ? 1 : 0;
                truncated += success && !whole ? 1 : 0;
            }
        }
        record.write(truncated + " of " + REQUESTS + " requests got a complete success without the worker's whole body; "
                + served + " got the whole body; " + resets.get() + " answers were reset");
        System.out.println("truncated successes: " + truncated + ", whole: " + served + ", resets: " + resets.get());
        boolean ran = trouble ? resets.get() > 0 : served > 0;
        return !ran ? Verdict.COULD_NOT_RUN : truncated > 0 ? Verdict.BROKEN : Verdict.HELD;
    }
}
