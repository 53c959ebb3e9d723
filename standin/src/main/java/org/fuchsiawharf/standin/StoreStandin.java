package org.fuchsiawharf.standin;

import java.nio.ByteBuffer;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.store.InMemoryStore;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.RateLimitedStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;
import org.xnio.IoUtils;

/**
 * Simulated key-value service of the platform over HTTP, with rate limits and injected faults.
 *
 * <p>Thread-safe.
 */
public final class StoreStandin {
    private static final double READS_PER_SECOND = 2_000;
    private static final double WRITES_PER_SECOND = 400;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int KEY_OFFSET = "/v1/kv/".length();
    private static final String WAIT_PREFERENCE = "wait=";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final InMemoryStore store = new InMemoryStore();
    private final RateLimitedStore reads = new RateLimitedStore(store, System::nanoTime, READS_PER_SECOND);
    private final RateLimitedStore writes = new RateLimitedStore(store, System::nanoTime, WRITES_PER_SECOND);
    private final AtomicLong calls = new AtomicLong();
    private final SplittableRandom random = new SplittableRandom(1);
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile double lostResponseShare;

    /** Creates an empty service without active faults. */
    public StoreStandin() {}

    /**
     * Sets whether the service is down; while down, each connection is closed without a response.
     *
     * @param unavailable true if the service is down
     */
    public void setDown(boolean unavailable) {
        down = unavailable;
    }

    /**
     * Sets the delay before each call is processed.
     *
     * @param millis the delay, in milliseconds
     */
    public void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /**
     * Sets the share of writes that take effect but whose response is lost.
     *
     * @param share the share of writes, 0 to 1
     */
    public void setLostResponseShare(double share) {
        lostResponseShare = share;
    }

    /**
     * Gets the number of received calls.
     *
     * @return the count
     */
    public long getCallCount() {
        return calls.get();
    }

    // -----------------------------------------------------------------------

    void handle(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            handleWrite(exchange);
        } else {
            handleRead(exchange);
        }
    }

    private void handleRead(HttpServerExchange exchange) {
        calls.incrementAndGet();
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.dispatch(() -> {
            applyDelay();
            respondToRead(exchange);
        });
    }

    private void respondToRead(HttpServerExchange exchange) {
        String key = exchange.getRequestPath().substring(KEY_OFFSET);
        String prefer = exchange.getRequestHeaders().getFirst("Prefer");
        String knownTag = exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH);
        ReadResult result;
        if (prefer != null && prefer.startsWith(WAIT_PREFERENCE) && knownTag != null) {
            long waitMillis = Long.parseLong(prefer.substring(WAIT_PREFERENCE.length())) * MILLIS_PER_SECOND;
            result = reads.watch(key, parseVersion(knownTag), waitMillis);
        } else {
            result = reads.read(key);
        }
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        switch (result.status()) {
            case FOUND:
                respondWithValue(exchange, result, knownTag);
                break;
            case ABSENT:
                boolean unchanged = knownTag != null && parseVersion(knownTag) == KeyValueStore.ABSENT;
                exchange.setStatusCode(unchanged ? StatusCodes.NOT_MODIFIED : StatusCodes.NOT_FOUND);
                exchange.endExchange();
                break;
            default:
                exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS);
                exchange.endExchange();
                break;
        }
    }

    private static void respondWithValue(
            HttpServerExchange exchange, ReadResult result, @org.jspecify.annotations.Nullable String knownTag) {
        exchange.getResponseHeaders().put(Headers.ETAG, "\"" + result.version() + "\"");
        if (knownTag != null && parseVersion(knownTag) == result.version()) {
            exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(result.value().getBytes()));
    }

    private void handleWrite(HttpServerExchange exchange) {
        calls.incrementAndGet();
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) -> received.dispatch(() -> {
                    applyDelay();
                    respondToWrite(received, body);
                }));
    }

    private void respondToWrite(HttpServerExchange exchange, byte[] body) {
        String key = exchange.getRequestPath().substring(KEY_OFFSET);
        String expectedTag = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        long expected = expectedTag == null ? KeyValueStore.ABSENT : parseVersion(expectedTag);
        if (body.length > MAX_VALUE_BYTES) {
            exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            exchange.endExchange();
            return;
        }
        WriteResult result = writes.compareAndSet(key, expected, Payload.of(body));
        if (down || isResponseLost()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setStatusCode(
                switch (result) {
                    case DONE -> StatusCodes.NO_CONTENT;
                    case CONFLICT -> StatusCodes.PRECONDITION_FAILED;
                    default -> StatusCodes.TOO_MANY_REQUESTS;
                });
        exchange.endExchange();
    }

    private synchronized boolean isResponseLost() {
        return random.nextDouble() < lostResponseShare;
    }

    private void applyDelay() {
        long millis = delayMillis;
        if (millis > 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static long parseVersion(String tag) {
        return Long.parseLong(tag.replace("\"", ""));
    }
}
