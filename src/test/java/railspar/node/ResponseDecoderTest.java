package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards that no input is read as the response to a request that it does not belong to. */
@Timeout(60)
final class ResponseDecoderTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String REFUSAL = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";

    /** The statuses of complete responses, and whether a surplus was known when each was complete. */
    private static final class Responses extends ChannelInboundHandlerAdapter {
        private final ResponseDecoder decoder;
        private final List<Integer> statuses = new ArrayList<>();
        private final List<Boolean> surplus = new ArrayList<>();
        private int status;

        Responses(final ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object part) {
            if (part instanceof HttpResponse response) {
                status = response.status().code();
            }
            if (part instanceof LastHttpContent) {
                statuses.add(status);
                surplus.add(decoder.hasSurplus());
            }
            ReferenceCountUtil.release(part);
        }
    }

    private final ResponseDecoder decoder = new ResponseDecoder();
    private final Responses responses = new Responses(decoder);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, responses);

    private static void receive(final EmbeddedChannel channel, final String text) {
        if (channel.isOpen() && !text.isEmpty()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }

    @Test
    void aResponseLeavesTheConnectionReadyForTheNextRequest() {
        for (final String response : List.of(RESPONSE, CHUNKED, NO_CONTENT, CONTINUE + RESPONSE, REFUSAL)) {
            assertTrue(decoder.isReadyForRequest());
            decoder.onRequest();
            receive(channel, response);
        }
        assertTrue(decoder.isReadyForRequest());
        assertEquals(List.of(200, 200, 204, 100, 200, 503), responses.statuses);
        assertFalse(responses.surplus.contains(true));
    }

    @Test
    void whatFollowsAResponseIsKnownWhenTheResponseIsComplete() {
        decoder.onRequest();
        receive(channel, RESPONSE + REFUSAL.substring(0, 12));
        assertEquals(List.of(true), responses.surplus);
        assertFalse(channel.isOpen());
    }

    @Test
    void aSurplusCutAtAnyByteIsNoResponseAndEndsTheConnection() {
        for (final String response : List.of(RESPONSE, CHUNKED, NO_CONTENT, CONTINUE + RESPONSE)) {
            for (final String surplus : List.of(response, "H", REFUSAL.substring(0, 12), "\r\n", "\0\1 noise")) {
                final String input = response + surplus;
                for (int cut = 1; cut < input.length(); cut++) {
                    assertOneResponseThenClosed(input, cut);
                }
            }
        }
    }

    private static void assertOneResponseThenClosed(final String input, final int cut) {
        final ResponseDecoder decoder = new ResponseDecoder();
        final Responses responses = new Responses(decoder);
        final EmbeddedChannel channel = new EmbeddedChannel(decoder, responses);
        decoder.onRequest();
        receive(channel, input.substring(0, cut));
        receive(channel, input.substring(cut));
        assertEquals(
                1, responses.statuses.stream().filter(status -> status >= 200).count(), "cut at " + cut);
        assertFalse(channel.isOpen(), "cut at " + cut);
        assertFalse(decoder.isReadyForRequest());
    }

    @Test
    void pipelinedRequestsGetTheirResponsesInOrder() {
        decoder.onRequest();
        decoder.onRequest();
        receive(channel, RESPONSE + REFUSAL);
        assertEquals(List.of(200, 503), responses.statuses);
        assertTrue(decoder.isReadyForRequest());
    }

    @Test
    void inputOnAnIdleConnectionEndsIt() {
        decoder.onRequest();
        receive(channel, RESPONSE);
        assertTrue(decoder.isReadyForRequest());
        receive(channel, RESPONSE);
        assertFalse(channel.isOpen());
        assertEquals(List.of(200), responses.statuses);
    }

    @Test
    void inputThatHasNotBeenReadFromTheSocketIsSeenBeforeARequestIsWritten() throws IOException, InterruptedException {
        final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0)) {
            final ResponseDecoder socketDecoder = new ResponseDecoder();
            final Channel connection = new Bootstrap()
                    .group(group)
                    .channelFactory(TrackedSocketChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(socketDecoder)
                    .connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()))
                    .sync()
                    .channel();
            try (Socket peer = server.accept()) {
                assertTrue(isReadyForRequest(connection, socketDecoder));
                peer.getOutputStream().write('H');
                while (isReadyForRequest(connection, socketDecoder)) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
                }
                connection.closeFuture().sync();
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private static boolean isReadyForRequest(final Channel connection, final ResponseDecoder socketDecoder)
            throws InterruptedException {
        return connection
                .eventLoop()
                .submit(socketDecoder::isReadyForRequest)
                .sync()
                .getNow();
    }
}
