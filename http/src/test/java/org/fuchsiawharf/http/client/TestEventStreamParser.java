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
    void parsesTypeIdAndData() {
        feed("id:7\nevent:token\ndata:\"a\"\n\n");
        assertThat(events, contains(new StreamEvent("7", "token", "\"a\"")));
    }

    @Test
    void joinsDataLinesAndIgnoresComments() {
        feed(":hello\ndata: a\ndata: b\n\n");
        assertThat(events, contains(new StreamEvent("", "message", "a\nb")));
    }

    @Test
    void acceptsEveryLineTerminator() {
        feed("data:a\r\n\r\ndata:b\r\rdata:c\n\n");
        assertThat(
                events,
                contains(
                        new StreamEvent("", "message", "a"),
                        new StreamEvent("", "message", "b"),
                        new StreamEvent("", "message", "c")));
    }

    @Test
    void ignoresIncompleteEvent() {
        feed("data:a\n");
        assertThat(events, empty());
    }

    @Property(seed = "1")
    void parsesSameEventsForEveryChunkSize(@ForAll @IntRange(min = 1, max = 40) int chunkSize) {
        List<StreamEvent> parsedEvents = new ArrayList<>();
        EventStreamParser chunkParser = new EventStreamParser(parsedEvents::add);
        byte[] bytes = "id:1\r\nevent:é\r\ndata:x\r\n\r\ndata:y\n\n".getBytes(StandardCharsets.UTF_8);
        for (int offset = 0; offset < bytes.length; offset += chunkSize) {
            chunkParser.feed(ByteBuffer.wrap(bytes, offset, Math.min(chunkSize, bytes.length - offset)));
        }
        assertThat(parsedEvents, contains(new StreamEvent("1", "é", "x"), new StreamEvent("1", "message", "y")));
    }
}
