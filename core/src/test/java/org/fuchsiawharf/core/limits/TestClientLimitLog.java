package org.fuchsiawharf.core.limits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiawharf.core.log.Meters;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class TestClientLimitLog {
    private final AtomicLong nanos = new AtomicLong();
    private final List<String> lines = new ArrayList<>();
    private final AtomicLong counted = new AtomicLong();
    private final Meters meters = new Meters() {
        @Override
        public void count(String name, String label, long amount) {
            counted.addAndGet(amount);
        }

        @Override
        public void time(String name, String label, long duration) {}
    };
    private final ClientLimitLog limitLog = new ClientLimitLog(
            "callers", nanos::get, (event, fields) -> lines.add(event + Arrays.toString(fields)), meters);

    @Test
    void lineNamesAddressAndLimit() {
        limitLog.onLimited("/127.0.0.1:5", "max_bytes");
        assertThat(
                lines.get(0), containsString("caller.limited[port, callers, address, /127.0.0.1:5, limit, max_bytes"));
    }

    @Test
    void linesOfOneSecondAreBoundedAndAllClientsAreCounted() {
        for (int i = 0; i < 1_000; i++) {
            limitLog.onLimited("a", "max_bytes");
        }
        nanos.set(1_000_000_000L);
        limitLog.onLimited("a", "max_bytes");
        assertThat(lines, hasSize(11));
        assertThat(lines.get(10), containsString("suppressed_before, 990"));
        assertThat(counted.get(), is(1_001L));
    }
}
