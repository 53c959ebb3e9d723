package org.fuchsiawharf.relay.instance;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestCachedPage {
    private final AtomicLong nanos = new AtomicLong();
    private final AtomicInteger rendered = new AtomicInteger();
    private final CachedPage page =
            new CachedPage(() -> new StatusServer.Page(200, "page " + rendered.incrementAndGet()), nanos::get);

    // Guards against clients that keep the I/O thread busy by requesting the metrics.
    @Test
    void manyRequestsRenderPageOnce() {
        for (int i = 0; i < 100; i++) {
            assertThat(page.get().text(), is("page 1"));
        }
    }

    @Test
    void pageIsRenderedAnewAfterMaximumAge() {
        page.get();
        nanos.set(250_000_000L);
        assertThat(page.get().text(), is("page 2"));
    }
}
