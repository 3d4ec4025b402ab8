package railspar.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The second address, where operators call: one line in, one answer out, and the connection ends. It has an event
 * loop of its own, so that no load on the clients' one delays an answer.
 */
final class OperatorServer {
    private static final int MOST_LINE_BYTES = 512;
    private static final int BACKLOG = 256;
    /** Callers at once: one that has said nothing makes room for a newer one, within the descriptors kept back. */
    static final int MAX_WAITING_CALLERS = 24;
    /** Callers that send nothing, or half a call, are let go after this. */
    private static final long SILENT_MS = 3000;

    private static final String YES = "+OK";
    private static final String NO = "-ERR";

    /** What the calls ask of the courier. All of it is called on the operators' own thread. */
    interface Commands {
        /** True while this process takes clients. */
        boolean isHealthy();

        /** The figures, one on a line. */
        String metrics();

        /** Drains the courier, or lets it take clients again. */
        void setDrained(boolean away, Consumer<String> refusal);

        /** Takes an endpoint out, or puts it back. */
        void overrideEndpoint(String host, boolean out, Consumer<String> refusal);
    }

    private final Commands desk;
    private final EventLoopGroup group = new MillisecondTimerLoopGroup(
            new DefaultThreadFactory("operators", true, Thread.MAX_PRIORITY), NioIoHandler.newFactory());
    /** Those that have not sent a whole line yet, oldest first. */
    private final Set<Channel> silent = new LinkedHashSet<>();

    OperatorServer(final Commands desk) {
        this.desk = desk;
    }

    /** Listens there, also before the courier takes clients: a no is an answer as well. */
    ChannelFuture listen(final InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MOST_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new Caller());
                    }
                })
                .bind(address);
    }

    /** One connection, which carries one call. */
    private final class Caller extends SimpleChannelInboundHandler<String> {
        private boolean called;

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            silent.add(ctx.channel());
            if (silent.size() > MAX_WAITING_CALLERS) {
                silent.iterator().next().close();
            }
            ctx.executor()
                    .schedule(
                            () -> {
                                if (!called) {
                                    ctx.close();
                                }
                            },
                            SILENT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            silent.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final String line) {
            if (!called) {
                called = true;
                silent.remove(ctx.channel());
                serve(ctx, line.trim());
            }
        }

        private void serve(final ChannelHandlerContext ctx, final String call) {
            final String[] words = call.split("\\s+");
            if (words.length == 2 && (words[0].equals("OFFLINE") || words[0].equals("ONLINE"))) {
                desk.overrideEndpoint(words[1], words[0].equals("OFFLINE"), refusal -> answer(ctx, refusal));
                return;
            }
            switch (call) {
                case "HEALTH" -> answer(ctx, desk.isHealthy() ? null : "not taking clients");
                case "DUMP" -> write(ctx, desk.metrics() + ".\n");
                case "LEAVE" -> desk.setDrained(true, refusal -> answer(ctx, refusal));
                case "JOIN" -> desk.setDrained(false, refusal -> answer(ctx, refusal));
                default -> answer(ctx, "unknown call");
            }
        }

        /** Yes, or no with the reason; from any thread. */
        private static void answer(final ChannelHandlerContext ctx, final String refusal) {
            write(ctx, (refusal == null ? YES : NO + " " + refusal) + "\n");
        }

        private static void write(final ChannelHandlerContext ctx, final String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of an operator", cause);
            if (cause instanceof TooLongFrameException && !called) {
                called = true;
                silent.remove(ctx.channel());
                answer(ctx, "too long");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.failure("an operator's call", cause);
            }
            ctx.close();
        }
    }
}
