package railspar.node;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects the body of one HTTP message after another. It allocates memory as a body arrives and holds none between two
 * bodies, so that an idle connection does not keep the memory of the largest body that it has carried.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /** Creates a buffer for bodies of at most that many bytes. */
    BodyBuffer(final int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends and consumes the content; returns false and appends nothing if the body would be too long. */
    boolean append(final ByteBuf content) {
        final int added = content.readableBytes();
        if (added > maxBytes - size) {
            return false;
        }
        if (size + added > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(maxBytes, Math.max(size + added, 2 * bytes.length)));
        }
        content.readBytes(bytes, size, added);
        size += added;
        return true;
    }

    /** Returns the body and clears the buffer. */
    byte[] take() {
        final byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return body;
    }

    /** Drops the body and its memory. */
    void clear() {
        bytes = EMPTY;
        size = 0;
    }

    /** The memory that the buffer holds, in bytes. */
    int capacity() {
        return bytes.length;
    }
}
