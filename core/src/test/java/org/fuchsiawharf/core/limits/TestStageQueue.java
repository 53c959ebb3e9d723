package org.fuchsiawharf.core.limits;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.Workspace;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestStageQueue {
    private final StageQueue<String> queue = new StageQueue<>(100);
    private final Workspace small = new Workspace("small", 1, 10, Priority.NORMAL);
    private final Workspace large = new Workspace("large", 3, 10, Priority.NORMAL);

    private void offer(String value, Workspace workspace, Priority priority, long deadline) {
        queue.offer(value, workspace, priority, deadline, 0);
    }

    private List<String> poll(int count) {
        List<String> polled = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            polled.add(String.valueOf(queue.poll()));
        }
        return polled;
    }

    @Test
    void pollsHigherPriorityFirst() {
        offer("low", small, Priority.LOW, 1);
        offer("high", small, Priority.HIGH, 9);
        assertThat(poll(2), contains("high", "low"));
    }

    @Test
    void pollsEarliestDeadlineFirstWithinWorkspace() {
        offer("late", small, Priority.NORMAL, 9);
        offer("early", small, Priority.NORMAL, 1);
        assertThat(poll(2), contains("early", "late"));
    }

    @Test
    void sharesByWeightAcrossWorkspaces() {
        for (int i = 0; i < 40; i++) {
            offer("small", small, Priority.NORMAL, i);
            offer("large", large, Priority.NORMAL, i);
        }
        long fromLarge = poll(40).stream().filter("large"::equals).count();
        assertThat(fromLarge, is(30L));
    }

    @Test
    void rejectsEntryWhenQueueIsFull() {
        StageQueue<String> tiny = new StageQueue<>(1);
        assertThat(tiny.offer("a", small, Priority.LOW, 0, 0), is(true));
        assertThat(tiny.offer("b", small, Priority.LOW, 0, 0), is(false));
    }

    @Test
    void removesEntryAtAnyPosition() {
        offer("a", small, Priority.NORMAL, 1);
        offer("b", small, Priority.NORMAL, 2);
        assertThat(queue.remove("b"), is(true));
        assertThat(queue.remove("b"), is(false));
        assertThat(poll(1), contains("a"));
        assertThat(queue.poll(), is(nullValue()));
    }

    @Test
    void countsEntriesAheadByPriority() {
        offer("h", small, Priority.HIGH, 1);
        offer("n", small, Priority.NORMAL, 1);
        offer("l", small, Priority.LOW, 1);
        assertThat(queue.countAhead(Priority.HIGH), is(1));
        assertThat(queue.countAhead(Priority.NORMAL), is(2));
        assertThat(queue.countAhead(Priority.LOW), is(3));
    }
}
