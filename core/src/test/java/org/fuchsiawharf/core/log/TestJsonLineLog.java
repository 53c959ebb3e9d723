package org.fuchsiawharf.core.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class TestJsonLineLog {
    private final ObjectMapper json = new ObjectMapper();

    @Test
    void writesOneJsonObjectPerLine() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonLineLog log = new JsonLineLog("i1", out, Meters.NONE)) {
            log.write("request.ended", "request", "a\"b", "took_ms", 12L, "share", 0.5, "none", null, "ok", true);
            log.write("instance.stopped");
        }
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines.length, is(2));
        JsonNode first = json.readTree(lines[0]);
        assertThat(first.path("instance").asText(), is("i1"));
        assertThat(first.path("event").asText(), is("request.ended"));
        assertThat(first.path("request").asText(), is("a\"b"));
        assertThat(first.path("took_ms").asLong(), is(12L));
        assertThat(first.path("none").isNull(), is(true));
        assertThat(json.readTree(lines[1]).path("event").asText(), is("instance.stopped"));
    }

    @Test
    void dropsAndCountsLinesWhenOutputBlocks() {
        CountDownLatch release = new CountDownLatch(1);
        AtomicLong dropped = new AtomicLong();
        OutputStream blockingOutput = new OutputStream() {
            @Override
            public void write(int b) {
                awaitRelease(release);
            }
        };
        Meters meters = new Meters() {
            @Override
            public void count(String name, String label, long amount) {
                dropped.addAndGet(amount);
            }

            @Override
            public void time(String name, String label, long nanos) {}
        };
        JsonLineLog log = new JsonLineLog("i1", blockingOutput, meters);
        // The output blocks until it is released, so the test would hang if log.write blocked.
        for (int i = 0; i < 20_000; i++) {
            log.write("x", "i", i);
        }
        assertThat(dropped.get(), is(greaterThan(10_000L)));
        release.countDown();
        log.close();
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
