package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class TestEventParser {
    private static final int READ_BYTES = 65_536;
    private static final int MAX_READS = 64;

    private final EventParser parser = new EventParser();
    private final List<String> events = new ArrayList<>();

    private boolean feed(String text) {
        return parser.feed(bytes(text), event -> events.add(event.bytes().toString(StandardCharsets.US_ASCII)));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    // Each empty line was an event of its own, so that endless ones kept the I/O thread busy with writes of one byte.
    @Test
    void emptyLinesBelongToTheEventThatFollows() {
        feed("id: 1\n\n\n\r\n\nid: 2\n\n");
        assertThat(events, contains("id: 1\n\n", "\n\r\n\nid: 2\n\n"));
    }

    @Test
    void emptyLinesWithoutEndAreMalformed() {
        feed("id: 1\n\n");
        int reads = 0;
        while (feed("\n".repeat(READ_BYTES)) && reads < MAX_READS) {
            reads++;
        }
        assertThat(reads < MAX_READS, is(true));
        assertThat(events.size(), is(1));
    }

    @Test
    void eventsAreTheSameHoweverTheirBytesAreSplit() {
        String text = ": x\n\nid: 1\ndata: a\n\n\r\nid: 2\r\ndata:\r\n\r\n\n";
        feed(text);
        List<String> whole = List.copyOf(events);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 200; i++) {
            events.clear();
            EventParser split = new EventParser();
            ByteBuf remaining = bytes(text);
            while (remaining.isReadable()) {
                ByteBuf part = remaining.readSlice(1 + random.nextInt(remaining.readableBytes()));
                split.feed(part, event -> events.add(event.bytes().toString(StandardCharsets.US_ASCII)));
            }
            assertThat(events, is(whole));
            assertThat(split.hasPartialEvent(), is(false));
        }
    }
}
