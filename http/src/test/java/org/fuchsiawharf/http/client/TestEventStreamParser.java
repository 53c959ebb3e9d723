package org.fuchsiawharf.http.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiawharf.http.client.EventStreamParser.StreamEvent;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

class TestEventStreamParser {
    private final List<StreamEvent> events = new ArrayList<>();
    private final EventStreamParser parser = new EventStreamParser(events::add);

    private void feed(String text) {
        parser.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void readsTypeIdAndData() {
        feed("id:7\nevent:token\ndata:\"a\"\n\n");
        assertThat(events, contains(new StreamEvent("7", "token", "\"a\"")));
    }

    @Test
    void joinsDataLinesAndIgnoresComments() {
        feed(":hello\ndata: a\ndata: b\n\n");
        assertThat(events, contains(new StreamEvent("", "message", "a\nb")));
    }

    @Test
    void takesEveryKindOfLineEnd() {
        feed("data:a\r\n\r\ndata:b\r\rdata:c\n\n");
        assertThat(
                events,
                contains(
                        new StreamEvent("", "message", "a"),
                        new StreamEvent("", "message", "b"),
                        new StreamEvent("", "message", "c")));
    }

    @Test
    void dropsAnUnfinishedEvent() {
        feed("data:a\n");
        assertThat(events, empty());
    }

    @Property(seed = "1")
    void readsTheSameHoweverTheBytesAreCut(@ForAll @IntRange(min = 1, max = 40) int cut) {
        List<StreamEvent> seen = new ArrayList<>();
        EventStreamParser cutParser = new EventStreamParser(seen::add);
        byte[] bytes = "id:1\r\nevent:é\r\ndata:x\r\n\r\ndata:y\n\n".getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += cut) {
            cutParser.feed(ByteBuffer.wrap(bytes, from, Math.min(cut, bytes.length - from)));
        }
        assertThat(seen, contains(new StreamEvent("1", "é", "x"), new StreamEvent("1", "message", "y")));
    }
}
