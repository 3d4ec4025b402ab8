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
 * Serves operators at the second address: a connection carries one command line and one response, and is closed. The
 * server has its own event loop, so that load on the clients' event loop delays no response.
 */
final class OperatorServer {
    private static final int MAX_LINE_BYTES = 512;
    private static final int BACKLOG = 256;
    /**
     * Maximum number of connections that have not sent a command; a newer one closes the oldest. They use the reserved
     * file descriptors.
     */
    static final int MAX_WAITING_CONNECTIONS = 24;
    /** Connections on which no whole command arrives are closed after this time. */
    private static final long COMMAND_TIMEOUT_MS = 3000;

    private static final String OK = "+OK";
    private static final String ERROR = "-ERR";

    /** The operators' commands to the courier. All methods are called on the operators' own thread. */
    interface Commands {
        /** True while this process serves clients. */
        boolean isHealthy();

        /** The metrics as text, one per line. */
        String metrics();

        /** Drains the courier, or ends the drain. The result is null on success, otherwise the reason. */
        void setDrained(boolean drained, Consumer<String> result);

        /** Disables an endpoint, or enables it again. The result is null on success, otherwise the reason. */
        void overrideEndpoint(String host, boolean disabled, Consumer<String> result);
    }

    private final Commands commands;
    private final EventLoopGroup group = new MillisecondTimerLoopGroup(
            new DefaultThreadFactory("operators", true, Thread.MAX_PRIORITY), NioIoHandler.newFactory());
    /** Connections that have not sent a whole line yet, oldest first. */
    private final Set<Channel> waiting = new LinkedHashSet<>();

    OperatorServer(final Commands commands) {
        this.commands = commands;
    }

    /** Listens on the address, also before the courier serves clients: a negative answer is useful as well. */
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
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new CommandHandler());
                    }
                })
                .bind(address);
    }

    /** One connection, which carries one command. */
    private final class CommandHandler extends SimpleChannelInboundHandler<String> {
        private boolean received;

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            waiting.add(ctx.channel());
            if (waiting.size() > MAX_WAITING_CONNECTIONS) {
                waiting.iterator().next().close();
            }
            ctx.executor()
                    .schedule(
                            () -> {
                                if (!received) {
                                    ctx.close();
                                }
                            },
                            COMMAND_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            waiting.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final String line) {
            if (!received) {
                received = true;
                waiting.remove(ctx.channel());
                serve(ctx, line.trim());
            }
        }

        private void serve(final ChannelHandlerContext ctx, final String command) {
            final String[] words = command.split("\\s+");
            if (words.length == 2 && (words[0].equals("OFFLINE") || words[0].equals("ONLINE"))) {
                commands.overrideEndpoint(words[1], words[0].equals("OFFLINE"), error -> respond(ctx, error));
                return;
            }
            switch (command) {
                case "HEALTH" -> respond(ctx, commands.isHealthy() ? null : "not taking clients");
                case "DUMP" -> write(ctx, commands.metrics() + ".\n");
                case "LEAVE" -> commands.setDrained(true, error -> respond(ctx, error));
                case "JOIN" -> commands.setDrained(false, error -> respond(ctx, error));
                default -> respond(ctx, "unknown call");
            }
        }

        /** Sends success, or the error with its reason; may be called from any thread. */
        private static void respond(final ChannelHandlerContext ctx, final String error) {
            write(ctx, (error == null ? OK : ERROR + " " + error) + "\n");
        }

        private static void write(final ChannelHandlerContext ctx, final String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of an operator", cause);
            if (cause instanceof TooLongFrameException && !received) {
                received = true;
                waiting.remove(ctx.channel());
                respond(ctx, "too long");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.failure("cannot serve an operator's command", cause);
            }
            ctx.close();
        }
    }
}
