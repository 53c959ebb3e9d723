package org.fuchsiawharf.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

class TestCallerMemory {
    private static final int MAX_CONNECTIONS = 3;
    private static final long MAX_BYTES = 1_000;

    private final CallerMemory memory = new CallerMemory(MAX_CONNECTIONS, MAX_BYTES);
    private final List<String> closed = new ArrayList<>();

    private CallerMemory.Account open(String name) {
        return Objects.requireNonNull(memory.open(limit -> closed.add(name + " " + limit.getSetting())));
    }

    // -----------------------------------------------------------------------

    @Test
    void connectionThatHoldsMostIsClosedRatherThanOneThatGrows() {
        CallerMemory.Account ordinary = open("ordinary");
        open("large").setBytes(900);
        ordinary.setBytes(101);
        assertThat(closed, is(List.of("large max_bytes")));
        assertThat(memory.getTotalBytes(), is(101L));
    }

    @Test
    void nothingIsClosedAtMaximum() {
        open("a").setBytes(400);
        open("b").setBytes(600);
        assertThat(closed, is(empty()));
    }

    @Test
    void connectionThatExceedsMaximumAloneIsClosed() {
        open("a").setBytes(MAX_BYTES + 1);
        assertThat(closed, is(List.of("a max_bytes")));
        assertThat(memory.getTotalBytes(), is(0L));
    }

    @Test
    void connectionThatWaitedLongestIsClosedForNewOne() {
        open("a").setState(CallerMemory.State.BUSY);
        CallerMemory.Account served = open("b");
        open("c");
        served.setState(CallerMemory.State.BUSY);
        served.setState(CallerMemory.State.WAITING);
        open("d");
        assertThat(closed, is(List.of("c max_connections")));
        assertThat(memory.getConnectionCount(), is(MAX_CONNECTIONS));
    }

    @Test
    void newConnectionIsRefusedIfAllOthersHaveRequests() {
        for (String name : List.of("a", "b", "c")) {
            open(name).setState(CallerMemory.State.BUSY);
        }
        assertThat(memory.open(limit -> {}), is(nullValue()));
        assertThat(closed, is(empty()));
    }

    // Guards against clients that keep all connections by not reading their responses.
    @Test
    void connectionWithResponseUnreadForLongestIsClosedIfNoneWaits() {
        open("busy").setState(CallerMemory.State.BUSY);
        open("unread").setState(CallerMemory.State.UNREAD);
        open("new").setState(CallerMemory.State.UNREAD);
        open("d");
        open("e");
        assertThat(closed, is(List.of("unread max_connections", "d max_connections")));
    }

    @Test
    void connectionWithProgressIsNotFirstToBeClosed() {
        CallerMemory.Account active = open("a");
        open("b");
        open("c");
        active.touch();
        open("d");
        assertThat(closed, is(List.of("b max_connections")));
    }

    // Guards against accounts that are counted after their connections are closed.
    @Test
    void closedAccountIsNotCounted() {
        CallerMemory.Account account = open("a");
        account.setBytes(500);
        account.close();
        account.setBytes(700);
        account.setState(CallerMemory.State.BUSY);
        account.touch();
        account.close();
        assertThat(memory.getTotalBytes(), is(0L));
        assertThat(memory.getConnectionCount(), is(0));
    }

    // Guards against a sum that drifts from what the connections hold.
    @Test
    void sumStaysWithinMaximum() {
        SplittableRandom random = new SplittableRandom(7);
        List<CallerMemory.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            if (random.nextInt(4) == 0) {
                accounts.add(open("c" + i));
            } else if (!accounts.isEmpty()) {
                CallerMemory.Account account = accounts.get(random.nextInt(accounts.size()));
                account.setBytes(random.nextInt(700));
            }
            assertThat(memory.getTotalBytes(), is(lessThanOrEqualTo(MAX_BYTES)));
            assertThat(memory.getConnectionCount(), is(lessThanOrEqualTo(MAX_CONNECTIONS)));
        }
        accounts.forEach(CallerMemory.Account::close);
        assertThat(memory.getTotalBytes(), is(0L));
    }
}
