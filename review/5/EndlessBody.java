package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 5: one answer of one worker goes on with empty lines without end, beside sound requests of all routes. */
public final class EndlessBody {
    private static final int STREAMS = 6;
    private static final int EVENTS = 20;
    private static final int EVENT_MILLIS = 100;
    private static final int EVENTS_BEFORE_FAULT = 2;
    private static final int STREAM_OBJECTIVE_MILLIS = 1_700;
    /** The gap after which a client abandons a stream: four times the objective. */
    private static final int ABANDON_MILLIS = 4 * STREAM_OBJECTIVE_MILLIS;
    private static final int SHORT_CLIENTS = 20;
    private static final int SHORT_PAUSE_MILLIS = 100;
    private static final int SHORT_TIMEOUT_MILLIS = 1_500;
    private static final int SLACK_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final int STEADY_MILLIS = 4_000;
    private static final int OBSERVED_MILLIS = 16_000;
    private static final String HOST = "pule25.example";

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredAfterSlack = new AtomicInteger();
    private final AtomicInteger wholeStreams = new AtomicInteger();
    private final AtomicBoolean faulty = new AtomicBoolean();
    private final AtomicBoolean endlessSent = new AtomicBoolean();

    private EndlessBody() {}

    private static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/turn/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":"
                + STREAM_OBJECTIVE_MILLIS + ",\"priority\":2,\"service\":\"llm\",\"max_attempts\":2,\"stages\":[],"
                + "\"public\":true,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250},"
                + "{\"name\":\"r-2\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/check/\",\"kind\":\"non_idempotent\",\"timeout_ms\":" + SHORT_TIMEOUT_MILLIS
                + ",\"target_latency_ms\":121,\"priority\":2,\"service\":\"api\",\"max_attempts\":1,\"stages\":[],"
                + "\"public\":true,\"session_affinity\":false}],\"services\":["
                + "{\"name\":\"llm\",\"health_check\":\"/health\",\"max_connections\":390},"
                + "{\"name\":\"api\",\"health_check\":\"/health\",\"max_connections\":390}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private static boolean answerShort(Worker.Request request) throws Exception {
        request.readBody();
        Client.sleep(20);
        request.answer(200, "X-Fuchsiawharf-Server-Stamp: stamp\r\n", new byte[800]);
        return true;
    }

    private boolean stream(Worker.Request request, String worker, Record record) throws Exception {
        request.readBody();
        String last = request.field("Last-Event-Id");
        request.out.write(("HTTP/1.1 200 OK\r\nX-Fuchsiawharf-Request-Id: " + request.id()
                        + "\r\nX-Fuchsiawharf-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        boolean endless = faulty.compareAndSet(true, false);
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        for (int id = first; id <= EVENTS; id++) {
            if (endless && id == first + EVENTS_BEFORE_FAULT) {
                endlessSent.set(true);
                sendEmptyLines(request, worker, record);
                return false;
            }
            request.out.write(("id: " + id + "\ndata: token\n\n").getBytes(StandardCharsets.ISO_8859_1));
            request.out.flush();
            Client.sleep(EVENT_MILLIS);
        }
        // The answer has no length and ends with its connection.
        return false;
    }

    private static void sendEmptyLines(Worker.Request request, String worker, Record record) {
        byte[] lines = new byte[16_384];
        Arrays.fill(lines, (byte) '\n');
        long sent = 0;
        record.write("worker " + worker + ": goes on with empty lines in its answer to " + request.id());
        try {
            while (true) {
                request.out.write(lines);
                sent += lines.length;
            }
        } catch (IOException e) {
            record.write("worker " + worker + ": the connection was closed after " + sent + " bytes of empty lines");
        }
    }

    public static void main(String[] args) {
        Verdict.exitWith(EndlessBody::check);
    }

    private static int check() throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> hosts = Deployment.findHosts(3);
        InetSocketAddress storeAddress = new InetSocketAddress(hosts.get(1), 8624);
        try (Record record = new Record("review/5/record.txt");
                Deployment deployment = new Deployment(storeAddress)) {
            return new EndlessBody().run(trouble, hosts, storeAddress, deployment, record);
        }
    }

    private int run(
            boolean trouble, List<String> hosts, InetSocketAddress storeAddress, Deployment deployment, Record record)
            throws Exception {
        Store store = new Store(storeAddress);
        store.put("op/config", config());
        for (int i = 0; i < 6; i++) {
            String id = "i-" + i;
            Worker worker = i % 2 == 0
                    ? new Worker(id, "llm", "lim-a", hosts.get(2), 0, request -> stream(request, id, record))
                    : new Worker(id, "api", "lim-a", hosts.get(2), 0, EndlessBody::answerShort);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        deployment.start(hosts.subList(0, 1), "lim-a");
        InetSocketAddress front = deployment.instances().get(0).front();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            threads.add(start(() -> sendShort(front, stop, record)));
        }
        threads.add(start(() -> askReadiness(hosts.get(0), stop, record)));
        Client.sleep(STEADY_MILLIS);
        record.write(answered.get() + " short requests answered before the streams begin");
        faulty.set(trouble);
        for (int i = 0; i < STREAMS; i++) {
            threads.add(start(() -> sendStream(front, record)));
        }
        Client.sleep(OBSERVED_MILLIS);
        stop.set(true);
        for (Thread thread : threads) {
            thread.join(25_000);
        }
        record.write("short requests: " + answered.get() + " answered within their route's timeout of "
                + SHORT_TIMEOUT_MILLIS + " ms; " + unansweredAtTimeout.get() + " unanswered at the timeout, of which "
                + unansweredAfterSlack.get() + " had no answer " + SLACK_MILLIS + " ms later; " + wholeStreams.get()
                + " of " + STREAMS + " streams whole");
        System.out.println("short requests: " + answered.get() + " in time, " + unansweredAtTimeout.get()
                + " unanswered at the timeout, " + unansweredAfterSlack.get() + " of them " + SLACK_MILLIS
                + " ms later; whole streams: " + wholeStreams.get());
        boolean broken = unansweredAtTimeout.get() >= MIN_UNANSWERED
                && 2 * unansweredAfterSlack.get() > unansweredAtTimeout.get();
        boolean ran = answered.get() > 0 && endlessSent.get() == trouble;
        return !ran ? Verdict.COULD_NOT_RUN : broken ? Verdict.BROKEN : Verdict.HELD;
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void sendShort(InetSocketAddress front, AtomicBoolean stop, Record record) {
        Client client = new Client(front, 0);
        while (!stop.get()) {
            String id = Client.newId();
            long sent = record.millis();
            try {
                client.send("POST", HOST, "/check/" + id, id, SHORT_TIMEOUT_MILLIS, "", new byte[10]);
                Client.Answer answer = client.read();
                long millis = record.millis() - sent;
                (millis > SHORT_TIMEOUT_MILLIS ? unansweredAtTimeout : answered).incrementAndGet();
                if (millis > SHORT_TIMEOUT_MILLIS + SLACK_MILLIS) {
                    unansweredAfterSlack.incrementAndGet();
                }
                if (millis > SHORT_TIMEOUT_MILLIS) {
                    record.write("short request " + id + ": " + answer.status() + " " + answer.end() + " after "
                            + millis + " ms");
                }
            } catch (IOException e) {
                record.write("short request " + id + " was not sent: " + e.getMessage());
                client.close();
            }
            Client.sleep(SHORT_PAUSE_MILLIS);
        }
        client.close();
    }

    private void sendStream(InetSocketAddress front, Record record) {
        String id = Client.newId();
        try (Client client = new Client(front, 0)) {
            client.send("POST", HOST, "/turn/" + id, id, 20_000, "", new byte[100]);
            int status = client.readHead();
            int events = 0;
            String text = "";
            long lastEvent = record.millis();
            for (String chunk = client.readChunk(); chunk != null; chunk = client.readChunk()) {
                if (chunk.isEmpty()) {
                    wholeStreams.addAndGet(events == EVENTS ? 1 : 0);
                    record.write("stream " + id + ": " + status + ", complete with " + events + " events");
                    return;
                }
                text += chunk;
                for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    if (text.startsWith("id: ")) {
                        events++;
                        lastEvent = record.millis();
                    }
                    text = text.substring(end + 2);
                }
                if (record.millis() - lastEvent > ABANDON_MILLIS) {
                    record.write("stream " + id + ": abandoned after " + events + " events and " + ABANDON_MILLIS
                            + " ms without one");
                    return;
                }
            }
            record.write("stream " + id + ": " + status + ", broken off after " + events + " events");
        } catch (SocketTimeoutException e) {
            record.write("stream " + id + ": no bytes for 30 s");
        } catch (IOException e) {
            record.write("stream " + id + ": " + e.getMessage());
        }
    }

    private static void askReadiness(String host, AtomicBoolean stop, Record record) {
        while (!stop.get()) {
            String result;
            try {
                HttpURLConnection call =
                        (HttpURLConnection) new URL("http://" + host + ":8621/api/readiness").openConnection();
                call.setConnectTimeout(1_000);
                call.setReadTimeout(1_000);
                result = Integer.toString(call.getResponseCode());
            } catch (IOException e) {
                result = String.valueOf(e.getMessage());
            }
            if (!result.equals("200")) {
                record.write("readiness: " + result);
            }
            Client.sleep(1_000);
        }
    }
}
