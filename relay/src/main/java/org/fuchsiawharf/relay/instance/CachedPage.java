package org.fuchsiawharf.relay.instance;

import java.util.function.Supplier;

import org.fuchsiawharf.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * A status page that is rendered at most a few times a second, however often it is requested.
 *
 * <p>Rendering the metrics takes the I/O thread, which serves the callers as well. Confined to the I/O thread.
 */
final class CachedPage implements Supplier<StatusServer.Page> {
    private static final long MAX_AGE_NANOS = 250_000_000L;

    private final Supplier<StatusServer.Page> source;
    private final Clock clock;
    private StatusServer.@Nullable Page page;
    private long renderedNanos;

    /**
     * Creates a page that is rendered when it is first requested.
     *
     * @param source renders the page, not null
     * @param clock the clock, not null
     */
    CachedPage(Supplier<StatusServer.Page> source, Clock clock) {
        this.source = source;
        this.clock = clock;
    }

    @Override
    public StatusServer.Page get() {
        StatusServer.Page current = page;
        long nowNanos = clock.nanos();
        if (current == null || nowNanos - renderedNanos >= MAX_AGE_NANOS) {
            current = source.get();
            page = current;
            renderedNanos = nowNanos;
        }
        return current;
    }
}
