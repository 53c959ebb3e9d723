package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's store that follows the users' pages: one revision counter, leases, watches with a
 * history of 20 s, and the drill in which it comes back from an older copy under the next Store-Era.
 *
 * <p>Thread-safe.
 */
public final class Store {
    private static final long HISTORY_NANOS = 20_000_000_000L;
    private static final int PAGE_ITEMS = 500;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Change(String key, Item item, long revision, long nanos) {}

    private static final class Lease {
        private final long ttlMillis;
        private final long openedNanos;
        private long endNanos;

        private Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            this.openedNanos = System.nanoTime();
            renew();
        }

        private void renew() {
            endNanos = System.nanoTime() + ttlMillis * 1_000_000L;
        }
    }

    private final ObjectMapper json = new ObjectMapper();
    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1_000;
    private long nextLease = 1;
    private long era = 1;
    private boolean away;

    public Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 200);
        server.setExecutor(Executors.newCachedThreadPool(Store::newDaemon));
        server.createContext("/api/", this::handle);
        server.start();
        Thread expiry = newDaemon(this::expireLeases);
        expiry.start();
    }

    private static Thread newDaemon(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    // -----------------------------------------------------------------------

    /** Writes an item as the operator or a worker; returns its revision, or -1 if the store is away. */
    public synchronized long put(String key, String value) {
        return away ? -1 : put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Removes an item as a worker that has left; returns the revision, or -1 if the store is away. */
    public synchronized long remove(String key) {
        return away ? -1 : removeItem(key);
    }

    public synchronized long getRevision() {
        return revision;
    }

    /** Breaks off all calls until the store comes back. */
    public synchronized void goAway() {
        away = true;
        notifyAll();
    }

    /** Serves again, with all that it had; leases have paused. */
    public synchronized void comeBack() {
        leases.values().forEach(Lease::renew);
        away = false;
        notifyAll();
    }

    /** Serves again, from a copy of the given age and under the next era. */
    public synchronized void comeBack(long copyAgeMillis) {
        long copyNanos = System.nanoTime() - copyAgeMillis * 1_000_000L;
        log.removeIf(change -> change.nanos() > copyNanos);
        items.clear();
        for (Change change : log) {
            if (change.item() == null) {
                items.remove(change.key());
            } else {
                items.put(change.key(), change.item());
            }
        }
        revision = log.isEmpty() ? 1_000 : log.get(log.size() - 1).revision();
        leases.values().removeIf(lease -> lease.openedNanos > copyNanos);
        leases.values().forEach(Lease::renew);
        era++;
        away = false;
        notifyAll();
    }

    // -----------------------------------------------------------------------

    private long put(String key, byte[] value, long lease) {
        Item old = items.get(key);
        revision++;
        Item item = new Item(value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        log.add(new Change(key, item, revision, System.nanoTime()));
        notifyAll();
        return revision;
    }

    private long removeItem(String key) {
        if (items.remove(key) != null) {
            revision++;
            log.add(new Change(key, null, revision, System.nanoTime()));
            notifyAll();
        }
        return revision;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                if (!away) {
                    long now = System.nanoTime();
                    leases.forEach((id, lease) -> {
                        if (lease.endNanos < now) {
                            ended.add(id);
                        }
                    });
                }
                ended.forEach(this::endLease);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == id) {
                keys.add(key);
            }
        });
        keys.forEach(this::removeItem);
    }

    // -----------------------------------------------------------------------

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        ObjectNode response = json.createObjectNode();
        int status;
        synchronized (this) {
            status = away ? 0 : call(exchange, body, response);
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        if (status == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = response.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int call(HttpExchange exchange, byte[] body, ObjectNode response) throws IOException {
        String[] path = exchange.getRequestURI().getPath().split("/");
        Map<String, String> query = query(exchange);
        return switch (path[2]) {
            case "kv-key" -> key(query, response);
            case "kv-range" -> range(query, response);
            case "kv-watch" -> watch(query, response);
            case "kv-txn" -> transact(json.readTree(body), response);
            case "kv-lease" -> {
                Lease lease = new Lease(json.readTree(body).path("ttl_ms").asLong());
                leases.put(nextLease, lease);
                response.put("lease", nextLease++).put("ttl_ms", lease.ttlMillis);
                yield 200;
            }
            case "kv-keep" -> {
                Lease lease = leases.get(Long.parseLong(path[3]));
                if (lease == null) {
                    yield 404;
                }
                lease.renew();
                yield 200;
            }
            case "kv-lease-end" -> {
                endLease(Long.parseLong(path[3]));
                yield 200;
            }
            default -> 404;
        };
    }

    private int key(Map<String, String> query, ObjectNode response) {
        String key = query.getOrDefault("key", "");
        Item item = items.get(key);
        if (item != null) {
            write(response, key, item);
        }
        response.put("as_of", revision);
        return item == null ? 404 : 200;
    }

    private int range(Map<String, String> query, ObjectNode response) {
        ArrayNode page = response.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        boolean hasMore = false;
        for (Map.Entry<String, Item> entry :
                items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (entry.getKey().startsWith(prefix)) {
                if (page.size() == PAGE_ITEMS) {
                    hasMore = true;
                    break;
                }
                write(page.addObject(), entry.getKey(), entry.getValue());
            }
        }
        response.put("has_more", hasMore).put("as_of", revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode response) {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        String prefix = query.getOrDefault("prefix", "");
        long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long deadline = System.nanoTime() + waitMillis * 1_000_000L;
        long startEra = era;
        ArrayNode events = response.putArray("events");
        while (true) {
            if (away || era != startEra) {
                return 0;
            }
            if (after > revision || isForgotten(after)) {
                return 410;
            }
            for (Change change : log) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    write(events, change);
                }
            }
            long leftMillis = (deadline - System.nanoTime()) / 1_000_000L;
            if (!events.isEmpty() || leftMillis <= 0) {
                response.put("as_of", revision);
                return 200;
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                return 0;
            }
        }
    }

    private boolean isForgotten(long after) {
        long oldest = System.nanoTime() - HISTORY_NANOS;
        return log.stream().anyMatch(change -> change.revision() > after && change.nanos() < oldest);
    }

    private int transact(JsonNode body, ObjectNode response) {
        ArrayNode current = json.createArrayNode();
        boolean conflict = false;
        for (JsonNode expected : body.path("expected_revision")) {
            String key = expected.path("key").asText();
            Item item = items.get(key);
            conflict |= (item == null ? 0 : item.revision()) != expected.path("revision").asLong();
            if (item != null) {
                write(current.addObject(), key, item);
            }
        }
        if (conflict) {
            response.set("items", current);
            return 412;
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            String key = put.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
        }
        body.path("remove").forEach(key -> removeItem(key.asText()));
        for (JsonNode put : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            put(put.path("key").asText(), value, put.path("lease").asLong());
        }
        response.put("revision", revision);
        return 200;
    }

    private void write(ArrayNode events, Change change) {
        if (change.item() == null) {
            events.addObject().put("key", change.key()).put("revision", change.revision()).put("removed", true);
        } else {
            write(events.addObject(), change.key(), change.item());
        }
    }

    private static void write(ObjectNode node, String key, Item item) {
        node.put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }
}
