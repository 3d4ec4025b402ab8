package railspar.scale.standin;

import java.net.InetSocketAddress;

/**
 * What went over one connection to discovery so far.
 *
 * @param number counts the connections in the order in which they were accepted, from 1
 * @param peer the other end
 * @param bytesIn bytes read from it
 * @param bytesOut bytes handed to the kernel for it, all of HTTP included
 * @param wholeLists whole lists that were begun on it
 * @param changeLines lines with changes that were sent on it
 * @param open whether it still stands
 */
public record ConnectionTraffic(
        long number,
        InetSocketAddress peer,
        long bytesIn,
        long bytesOut,
        int wholeLists,
        int changeLines,
        boolean open) {}
