package org.fuchsiawharf.peer;

import java.util.function.LongConsumer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.fuchsiawharf.peer.generated.PeerProto;

/**
 * The framing of the connections between instances.
 *
 * <p>A frame is its length in four bytes, followed by a protobuf message. Stateless and thread-safe.
 */
final class PeerFrames {
    /** The maximum size of a frame, about five times the size of a list of 1,000 endpoints. */
    private static final int MAX_FRAME_BYTES = 4 << 20;

    private static final int LENGTH_BYTES = 4;

    private PeerFrames() {}

    /** Adds the handlers that decode and encode frames. */
    static void addTo(ChannelPipeline pipeline) {
        addTo(pipeline, bytes -> {});
    }

    /**
     * Adds the handlers that decode and encode frames.
     *
     * @param pipeline the handlers of the connection, not null
     * @param onHeldBytes receives the memory of the incomplete frame after each read, in bytes, not null
     */
    static void addTo(ChannelPipeline pipeline, LongConsumer onHeldBytes) {
        pipeline.addLast(
                new CountingFrameDecoder(MAX_FRAME_BYTES, LENGTH_BYTES, onHeldBytes),
                new ProtobufDecoder(PeerProto.Frame.getDefaultInstance()),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufEncoder());
    }
}
