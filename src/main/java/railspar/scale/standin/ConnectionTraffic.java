package railspar.scale.standin;

import java.net.InetSocketAddress;

/**
 * The traffic of one connection to discovery so far.
 *
 * @param number number of the connection in the order of acceptance, from 1
 * @param peer address of the peer
 * @param bytesIn bytes received
 * @param bytesOut bytes written to the socket, including all of the HTTP framing
 * @param wholeLists number of whole lists whose transmission was started
 * @param changeLines number of lines with changes that were sent
 * @param open whether the connection is still open
 */
public record ConnectionTraffic(
        long number,
        InetSocketAddress peer,
        long bytesIn,
        long bytesOut,
        int wholeLists,
        int changeLines,
        boolean open) {}
