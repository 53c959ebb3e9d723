package org.fuchsiawharf.peer;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * One tunnel between a peer and an endpoint, at the instance that reaches the endpoint.
 *
 * <p>Bytes are passed on unchanged and in order. Neither side is read while the other accepts no more bytes. The regular
 * end of the endpoint's side is passed on as a message; the connection to the peer is closed without this message if the
 * connection to the endpoint was reset, or if the endpoint responded and closed its side before it could have received
 * the whole request, since a body without a length is then not known to be complete. A reset that follows the end of the
 * endpoint's side is awaited for a short time. When the peer closes its connection, the connection to the endpoint is closed.
 * Confined to the I/O thread.
 */
final class CarriedTunnel extends SimpleChannelInboundHandler<PeerProto.Frame> {
    /** Time after the end of the endpoint's side within which its reset arrives: a few round trips. */
    private static final long RESET_WAIT_MILLIS = 20;

    private static final String EMPTY_LINE = "\r\n";

    private final TunnelRequest request;
    private final TunnelAcceptor acceptor;
    private final Bootstrap bootstrap;
    private final Channel peerChannel;
    private @Nullable Channel endpointChannel;
    private boolean admitted;
    private boolean ended;
    /** Whether bytes of the endpoint arrived while bytes for it were waiting to be written. */
    private boolean readBeforeWritten;

    private String outcome = "closed by the peer";
    private long bytes;

    CarriedTunnel(TunnelRequest request, TunnelAcceptor acceptor, Bootstrap bootstrap, Channel peerChannel) {
        this.request = request;
        this.acceptor = acceptor;
        this.bootstrap = bootstrap;
        this.peerChannel = peerChannel;
    }

    void start() {
        acceptor.onRequested(request, decision -> peerChannel.eventLoop().execute(() -> onDecided(decision)));
    }

    private void onDecided(TunnelAcceptor.Decision decision) {
        TunnelRefusal refusal = decision.refusal();
        if (refusal != null) {
            refuse(refusal);
            return;
        }
        admitted = true;
        if (!peerChannel.isActive()) {
            end();
            return;
        }
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new EndpointSide());
                    }
                })
                .connect(decision.address());
        future.addListener(done -> onConnected(future));
    }

    private void onConnected(ChannelFuture future) {
        if (!future.isSuccess()) {
            outcome = String.valueOf(future.cause().getMessage());
            refuse(TunnelRefusal.UNREACHABLE);
        } else if (ended) {
            future.channel().close();
        } else {
            endpointChannel = future.channel();
            peerChannel.writeAndFlush(PeerProto.Frame.newBuilder()
                    .setTunnelOpened(PeerProto.TunnelOpened.getDefaultInstance())
                    .build());
        }
    }

    private void refuse(TunnelRefusal refusal) {
        peerChannel.writeAndFlush(TunnelCodec.encode(refusal)).addListener(ChannelFutureListener.CLOSE);
    }

    // The tunnel has ended once all its bytes have been passed to the operating system, or the peer has left.
    private void end() {
        if (admitted && !ended) {
            ended = true;
            acceptor.onEnded(request, outcome, bytes);
        }
    }

    private static boolean hasUnwrittenBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null || buffer.totalPendingWriteBytes() > 0;
    }

    // -----------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
        Channel target = endpointChannel;
        if (frame.hasTunnelData() && target != null) {
            ByteString data = frame.getTunnelData().getData();
            bytes += data.size();
            target.writeAndFlush(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer()));
        } else if (frame.hasEndpointNotice()) {
            acceptor.onNotice(request, TunnelCodec.decode(frame.getEndpointNotice()));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        Channel source = endpointChannel;
        if (source != null) {
            source.config().setAutoRead(context.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        Channel channel = endpointChannel;
        if (channel != null) {
            channel.close();
        }
        end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check(cause);
        context.close();
    }

    /** The connection to the endpoint. */
    private final class EndpointSide extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            readBeforeWritten |= hasUnwrittenBytes(context.channel());
            try {
                ByteBuf data = (ByteBuf) message;
                bytes += data.readableBytes();
                peerChannel.write(TunnelCodec.encode(data));
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            peerChannel.flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            peerChannel.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (!(event instanceof ChannelInputShutdownEvent)) {
                return;
            }
            if (readBeforeWritten || hasUnwrittenBytes(context.channel())) {
                outcome = "closed by the endpoint before the request was written";
                context.close();
            } else {
                outcome = "closed by the endpoint";
                context.executor().schedule(() -> checkForReset(context), RESET_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        // A side that has ended is not read again, so that only a write meets the reset of an endpoint that has left a
        // part of the request unread. No further response can follow, and an empty line after a request is ignored.
        private void checkForReset(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.copiedBuffer(EMPTY_LINE, StandardCharsets.US_ASCII))
                    .addListener(write -> {
                        if (write.isSuccess()) {
                            reportEnd();
                        } else {
                            outcome = "reset after the end of the endpoint's side";
                            context.close();
                        }
                    });
        }

        private void reportEnd() {
            peerChannel
                    .writeAndFlush(PeerProto.Frame.newBuilder()
                            .setTunnelEnd(PeerProto.TunnelEnd.getDefaultInstance())
                            .build())
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            FatalErrors.check(cause);
            outcome = String.valueOf(cause.getMessage());
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            peerChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
