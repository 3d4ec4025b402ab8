package railspar.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import railspar.DeliveryRules.Transmission;

/**
 * A connection that knows whether a write on its socket was tried, and whether one failed. The framework closes a
 * connection on a failed write and fails what was queued, whether or not the socket had taken it.
 */
final class TrackedSocketChannel extends NioSocketChannel {
    private long writes;
    private boolean writeFailed;

    /** A connection that is to be opened. */
    TrackedSocketChannel() {}

    /** A connection that a listening socket has accepted. */
    TrackedSocketChannel(final Channel parent, final SocketChannel socket) {
        super(parent, socket);
    }

    /** Writes tried so far. */
    long writeCount() {
        return writes;
    }

    /**
     * What is known of a message that was queued when so many writes had been tried, and of which the socket has not
     * taken all: parts that it did take, without a failure, do not make it whole.
     */
    Transmission transmissionOfUnfinished(final long writesBefore) {
        return writeFailed && writes > writesBefore ? Transmission.IN_DOUBT : Transmission.NOT_SENT;
    }

    /** As above where a part of the message is enough to be understood. */
    Transmission transmissionOfAnyPart(final long writesBefore) {
        return writes > writesBefore ? Transmission.IN_DOUBT : Transmission.NOT_SENT;
    }

    @Override
    protected void doWrite(final ChannelOutboundBuffer queued) throws Exception {
        writes++;
        try {
            super.doWrite(queued);
        } catch (final IOException | RuntimeException e) {
            writeFailed = true;
            throw e;
        }
    }
}
