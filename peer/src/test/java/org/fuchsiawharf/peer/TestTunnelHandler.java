package org.fuchsiawharf.peer;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestTunnelHandler {
    private static final int LARGE_BODY_BYTES = 4 << 20;
    private static final int MAX_FRAME_BYTES = 1 << 20;

    private static final TunnelHandler.Listener IGNORING = new TunnelHandler.Listener() {
        @Override
        public void onOpened() {}

        @Override
        public void onRefused(TunnelRefusal refusal) {}

        @Override
        public void onFailed(String detail) {}

        @Override
        public void onClosed() {}
    };

    // A request with a body of the maximum size failed, since its message exceeded the maximum of a frame.
    @Test
    void largeBodyIsDividedIntoMessages() {
        EmbeddedChannel channel = new EmbeddedChannel(new TunnelHandler(new TunnelRequest("m1", "e1", "r1"), IGNORING));
        channel.readOutbound();
        byte[] body = new byte[LARGE_BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        channel.writeOutbound(Unpooled.wrappedBuffer(body));
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        for (PeerProto.Frame frame = channel.readOutbound(); frame != null; frame = channel.readOutbound()) {
            assertThat(frame.getSerializedSize(), is(lessThan(MAX_FRAME_BYTES)));
            sent.writeBytes(frame.getTunnelData().getData().toByteArray());
        }
        assertThat(java.util.Arrays.equals(sent.toByteArray(), body), is(true));
    }
}
