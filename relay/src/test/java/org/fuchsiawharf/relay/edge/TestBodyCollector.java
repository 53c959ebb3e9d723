package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestBodyCollector {
    private static final int LARGER_THAN_A_PART = 70_001;

    private final BodyCollector collector = new BodyCollector();

    @Test
    void bodyHasAllBytesInOrder() {
        StringBuilder expected = new StringBuilder();
        for (int size : new int[] {0, 1, 300, LARGER_THAN_A_PART, 5}) {
            String text = Character.toString('a' + size % 26).repeat(size);
            expected.append(text);
            collector.add(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            assertThat(collector.size(), is(expected.length()));
        }
        ByteBuf body = collector.complete();
        assertThat(body.toString(StandardCharsets.ISO_8859_1), is(expected.toString()));
        body.release();
        assertThat(body.refCnt(), is(0));
    }

    @Test
    void emptyBodyIsCompleted() {
        assertThat(collector.complete().readableBytes(), is(0));
    }

    @Test
    void addedBufferBelongsToItsOwner() {
        ByteBuf data = Unpooled.copiedBuffer("x", StandardCharsets.ISO_8859_1);
        collector.add(data);
        collector.release();
        assertThat(data.refCnt(), is(1));
    }
}
