package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards the memory that the decoder of a client connection holds, and that its own buffers lose no byte. */
final class RequestDecoderTest {
    private static final int RECEIVE_BUFFER_BYTES = 1 << 16;
    private static final String BODY = "hello";
    private static final String HEAD =
            "POST /safe HTTP/1.1\r\nHost: x\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
    private static final String HALF_HEAD = "POST /safe HTTP/1.1\r\nHost: x\r\nConte";

    private final RequestDecoder decoder = new RequestDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private void receive(final String text) {
        read(text);
        channel.flushInbound();
    }

    /** Reads input without the end of the pass that reads, at which memory is freed. */
    private void read(final String text) {
        final ByteBuf buffer = Unpooled.directBuffer(RECEIVE_BUFFER_BYTES);
        buffer.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        channel.writeOneInbound(buffer);
    }

    private void assertOneRequest() {
        final HttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isSuccess());
        assertEquals("/safe", request.uri());
        assertEquals("x", request.headers().get("Host"));
        final StringBuilder body = new StringBuilder();
        HttpContent content;
        do {
            content = channel.readInbound();
            body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            content.release();
        } while (!(content instanceof LastHttpContent));
        assertEquals(BODY, body.toString());
    }

    @Test
    void aPartOfAHeadIsHeldInAsManyBytesAsItHas() {
        read(HEAD + BODY + HALF_HEAD);
        assertOneRequest();
        channel.flushInbound();
        assertEquals(HALF_HEAD.length(), decoder.heldBytes());
        assertTrue(decoder.hasPartialRequest());
        receive(HEAD.substring(HALF_HEAD.length()) + BODY);
        assertEquals(0, decoder.heldBytes());
        assertFalse(decoder.hasPartialRequest());
        assertOneRequest();
    }

    @Test
    void requestsCutAtAnyByteAreDecodedWhole() {
        final String two = HEAD + BODY + HEAD + BODY;
        for (int cut = 1; cut < two.length(); cut++) {
            receive(two.substring(0, cut));
            receive(two.substring(cut));
            assertEquals(0, decoder.heldBytes());
            assertOneRequest();
            assertOneRequest();
            assertNull(channel.readInbound());
        }
    }

    @Test
    void theLengthOfAHeadIsReported() {
        receive(HEAD + BODY);
        final HttpRequest request = channel.readInbound();
        assertEquals("/safe", request.uri());
        receive(HALF_HEAD);
        receive(HEAD.substring(HALF_HEAD.length()));
        assertEquals(HEAD.length(), decoder.lastHeadBytes());
    }

    @Test
    void tooManyHeadersAreRejected() {
        receive("GET /up HTTP/1.1\r\n" + "a:b\r\n".repeat(RequestDecoder.MAX_HEADERS) + "\r\n");
        assertTrue(channel.<HttpRequest>readInbound().decoderResult().isSuccess());
        assertTrue(channel.<LastHttpContent>readInbound().decoderResult().isSuccess());
        receive("GET /up HTTP/1.1\r\n" + "a:b\r\n".repeat(RequestDecoder.MAX_HEADERS + 1) + "\r\n");
        assertTrue(channel.<HttpRequest>readInbound().decoderResult().isFailure());
    }

    @Test
    void discardedInputIsNeitherHeldNorDecoded() {
        receive(HALF_HEAD);
        decoder.discardInput();
        decoder.compact();
        assertEquals(0, decoder.heldBytes());
        receive(HEAD + BODY);
        assertEquals(0, decoder.heldBytes());
        assertNull(channel.readInbound());
    }
}
