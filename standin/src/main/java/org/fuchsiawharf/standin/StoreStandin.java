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
import org.fuchsiawharf.core.store.BudgetedStore;
import org.fuchsiawharf.core.store.InMemoryStore;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;
import org.xnio.IoUtils;

/**
 * The platform's key-value service over HTTP, with limited rates and faults.
 *
 * <p>Thread-safe.
 */
public final class StoreStandin {
    private static final double READS_PER_SECOND = 2_000;
    private static final double WRITES_PER_SECOND = 400;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int PATH_LENGTH = "/v1/kv/".length();
    private static final String WAIT = "wait=";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final InMemoryStore values = new InMemoryStore();
    private final BudgetedStore reads = new BudgetedStore(values, System::nanoTime, READS_PER_SECOND);
    private final BudgetedStore writes = new BudgetedStore(values, System::nanoTime, WRITES_PER_SECOND);
    private final AtomicLong calls = new AtomicLong();
    private final SplittableRandom random = new SplittableRandom(1);
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile double lostShare;

    /** Creates an empty service without faults. */
    public StoreStandin() {}

    /**
     * Sets whether the service is down: each connection is closed without an answer.
     *
     * @param now whether it is
     */
    public void setDown(boolean now) {
        down = now;
    }

    /**
     * Sets how long each answer is held back.
     *
     * @param millis the delay, in milliseconds
     */
    public void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /**
     * Sets the share of writes that take effect though their answer is lost.
     *
     * @param share the share, 0 to 1
     */
    public void setLostShare(double share) {
        lostShare = share;
    }

    /**
     * Gets the number of calls received.
     *
     * @return the count
     */
    public long getCalls() {
        return calls.get();
    }

    // -----------------------------------------------------------------------

    void handle(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            write(exchange);
        } else {
            read(exchange);
        }
    }

    private void read(HttpServerExchange exchange) {
        calls.incrementAndGet();
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.dispatch(() -> {
            pause();
            answerRead(exchange);
        });
    }

    private void answerRead(HttpServerExchange exchange) {
        String key = exchange.getRequestPath().substring(PATH_LENGTH);
        String prefer = exchange.getRequestHeaders().getFirst("Prefer");
        String known = exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH);
        ReadResult result;
        if (prefer != null && prefer.startsWith(WAIT) && known != null) {
            long wait = Long.parseLong(prefer.substring(WAIT.length())) * MILLIS_PER_SECOND;
            result = reads.watch(key, parse(known), wait);
        } else {
            result = reads.read(key);
        }
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        switch (result.status()) {
            case FOUND:
                answerFound(exchange, result, known);
                break;
            case ABSENT:
                boolean unchanged = known != null && parse(known) == KeyValueStore.ABSENT;
                exchange.setStatusCode(unchanged ? StatusCodes.NOT_MODIFIED : StatusCodes.NOT_FOUND);
                exchange.endExchange();
                break;
            default:
                exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS);
                exchange.endExchange();
                break;
        }
    }

    private static void answerFound(
            HttpServerExchange exchange, ReadResult result, @org.jspecify.annotations.Nullable String known) {
        exchange.getResponseHeaders().put(Headers.ETAG, "\"" + result.version() + "\"");
        if (known != null && parse(known) == result.version()) {
            exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(result.value().getBytes()));
    }

    private void write(HttpServerExchange exchange) {
        calls.incrementAndGet();
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes((read, body) -> read.dispatch(() -> {
                    pause();
                    answerWrite(read, body);
                }));
    }

    private void answerWrite(HttpServerExchange exchange, byte[] body) {
        String key = exchange.getRequestPath().substring(PATH_LENGTH);
        String match = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        long expected = match == null ? KeyValueStore.ABSENT : parse(match);
        if (body.length > MAX_VALUE_BYTES) {
            exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            exchange.endExchange();
            return;
        }
        WriteResult result = writes.compareAndSet(key, expected, Payload.of(body));
        if (down || isLost()) {
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

    private synchronized boolean isLost() {
        return random.nextDouble() < lostShare;
    }

    private void pause() {
        long millis = delayMillis;
        if (millis > 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static long parse(String tag) {
        return Long.parseLong(tag.replace("\"", ""));
    }
}
