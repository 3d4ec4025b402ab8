package railspar.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import railspar.DeliveryRules.Transmission;

/**
 * A connection that counts the writes tried on its socket and remembers whether one failed. Netty closes a connection
 * after a failed write and fails everything that was queued, whether or not the socket had taken it.
 */
final class TrackedSocketChannel extends NioSocketChannel {
    private long writeCount;
    private boolean writeFailed;

    /** Creates an unconnected channel. */
    TrackedSocketChannel() {}

    /** Wraps a connection that a listening socket has accepted. */
    TrackedSocketChannel(final Channel parent, final SocketChannel socket) {
        super(parent, socket);
    }

    /** The number of writes tried so far. */
    long writeCount() {
        return writeCount;
    }

    /**
     * Whether data that was queued after {@code writeCountBefore} writes may have been sent as a whole, given that the
     * socket has not reported all of it as written. Parts that were written without a failure do not make it whole.
     */
    Transmission transmissionOfUnfinished(final long writeCountBefore) {
        return writeFailed && writeCount > writeCountBefore ? Transmission.IN_DOUBT : Transmission.NOT_SENT;
    }

    /** Like {@link #transmissionOfUnfinished}, for data of which the peer can understand a part. */
    Transmission transmissionOfAnyPart(final long writeCountBefore) {
        return writeCount > writeCountBefore ? Transmission.IN_DOUBT : Transmission.NOT_SENT;
    }

    /**
     * Whether input, or the end of the input, waits in the socket. It may lose a byte of that, so it is for connections
     * on which no input is expected.
     */
    boolean takeUnreadInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (final IOException e) {
            return true;
        }
    }

    /** Whether bytes from the peer wait in the socket. Takes none of them, and does not see the end of the input. */
    boolean hasUnreadInput() {
        try {
            return javaChannel().socket().getInputStream().available() > 0;
        } catch (final IOException e) {
            return false;
        }
    }

    @Override
    protected void doWrite(final ChannelOutboundBuffer queued) throws Exception {
        writeCount++;
        try {
            super.doWrite(queued);
        } catch (final IOException | RuntimeException e) {
            writeFailed = true;
            throw e;
        }
    }
}
