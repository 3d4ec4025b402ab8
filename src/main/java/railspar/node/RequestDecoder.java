package railspar.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Decodes the requests of one client connection. It holds undecoded input on the heap and in no more memory than that
 * input needs: a received buffer may have a capacity of 64 KiB while only some bytes of it are left.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Many short headers would take far more memory than their text. */
    static final int MAX_HEADERS = 64;

    private boolean discarding;
    private int headBytes;
    private int lastHeadBytes;

    RequestDecoder() {
        super(new HttpDecoderConfig().setHeadersFactory(new CountedHeadersFactory()));
        setCumulator(RequestDecoder::appendOnHeap);
    }

    /** True if bytes of an incomplete line or body are buffered. */
    boolean hasPartialRequest() {
        return actualReadableBytes() > 0;
    }

    /** The memory of undecoded input and of the text of a head that is not complete, in bytes. */
    int heldBytes() {
        return internalBuffer().capacity() + headBytes;
    }

    /** The length of the latest complete head, in bytes. */
    int lastHeadBytes() {
        return lastHeadBytes;
    }

    /** Drops the undecoded input; what arrives from now on is not decoded. */
    void discardInput() {
        discarding = true;
        headBytes = 0;
    }

    /** Frees the memory that the undecoded input does not need. Not to be called while input is being decoded. */
    void compact() {
        final ByteBuf input = internalBuffer();
        if (discarding) {
            input.skipBytes(input.readableBytes());
        }
        if (input.refCnt() == 1 && input.capacity() > input.readableBytes()) {
            input.discardReadBytes();
            input.capacity(input.readableBytes());
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext ctx) throws Exception {
        compact();
        super.channelReadComplete(ctx);
    }

    @Override
    protected void decode(final ChannelHandlerContext ctx, final ByteBuf input, final List<Object> out)
            throws Exception {
        if (discarding) {
            input.skipBytes(input.readableBytes());
            return;
        }
        final int readableBefore = input.readableBytes();
        final int decodedBefore = out.size();
        super.decode(ctx, input, out);
        headBytes += readableBefore - input.readableBytes();
        if (out.size() > decodedBefore) {
            lastHeadBytes = headBytes;
            headBytes = 0;
        }
    }

    /**
     * Rejects a request with both Content-Length and chunked encoding, which another server could parse differently.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }

    private static ByteBuf appendOnHeap(
            final ByteBufAllocator allocator, final ByteBuf undecoded, final ByteBuf received) {
        final ByteBuf joined = allocator.heapBuffer(undecoded.readableBytes() + received.readableBytes());
        try {
            return joined.writeBytes(undecoded).writeBytes(received);
        } finally {
            undecoded.release();
            received.release();
        }
    }

    /** Creates the headers of requests, and the trailers of chunked ones. */
    private static final class CountedHeadersFactory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new CountedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new CountedHeaders();
        }
    }

    /** Validated headers, of which there are at most {@link #MAX_HEADERS}. */
    private static final class CountedHeaders extends DefaultHttpHeaders {
        @Override
        public HttpHeaders add(final String name, final Object value) {
            requireRoom();
            return super.add(name, value);
        }

        @Override
        public HttpHeaders add(final CharSequence name, final Object value) {
            requireRoom();
            return super.add(name, value);
        }

        private void requireRoom() {
            if (size() >= MAX_HEADERS) {
                throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
            }
        }
    }
}
