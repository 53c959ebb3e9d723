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
    private final Workspace lowWeight = new Workspace("small", 1, 10, Priority.NORMAL);
    private final Workspace highWeight = new Workspace("large", 3, 10, Priority.NORMAL);

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
        offer("low", lowWeight, Priority.LOW, 1);
        offer("high", lowWeight, Priority.HIGH, 9);
        assertThat(poll(2), contains("high", "low"));
    }

    @Test
    void pollsEarliestDeadlineFirstWithinWorkspace() {
        offer("late", lowWeight, Priority.NORMAL, 9);
        offer("early", lowWeight, Priority.NORMAL, 1);
        assertThat(poll(2), contains("early", "late"));
    }

    @Test
    void pollsWorkspacesInProportionToWeight() {
        for (int i = 0; i < 40; i++) {
            offer("small", lowWeight, Priority.NORMAL, i);
            offer("large", highWeight, Priority.NORMAL, i);
        }
        long fromHighWeight = poll(40).stream().filter("large"::equals).count();
        assertThat(fromHighWeight, is(30L));
    }

    @Test
    void rejectsEntryWhenQueueIsFull() {
        StageQueue<String> tiny = new StageQueue<>(1);
        assertThat(tiny.offer("a", lowWeight, Priority.LOW, 0, 0), is(true));
        assertThat(tiny.offer("b", lowWeight, Priority.LOW, 0, 0), is(false));
    }

    @Test
    void removesEntryAtAnyPosition() {
        offer("a", lowWeight, Priority.NORMAL, 1);
        offer("b", lowWeight, Priority.NORMAL, 2);
        assertThat(queue.remove("b"), is(true));
        assertThat(queue.remove("b"), is(false));
        assertThat(poll(1), contains("a"));
        assertThat(queue.poll(), is(nullValue()));
    }

    @Test
    void countsEntriesAheadByPriority() {
        offer("h", lowWeight, Priority.HIGH, 1);
        offer("n", lowWeight, Priority.NORMAL, 1);
        offer("l", lowWeight, Priority.LOW, 1);
        assertThat(queue.countAhead(Priority.HIGH), is(1));
        assertThat(queue.countAhead(Priority.NORMAL), is(2));
        assertThat(queue.countAhead(Priority.LOW), is(3));
    }
}
