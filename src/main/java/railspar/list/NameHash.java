package railspar.list;

import java.util.Arrays;

/** Hashes and compares UTF-8 names that are stored in ranges of larger byte arrays. */
final class NameHash {
    private static final int MULTIPLIER = 31;
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    private NameHash() {}

    static int of(final byte[] bytes, final int from, final int length) {
        int hash = length;
        for (int index = from; index < from + length; index++) {
            hash = MULTIPLIER * hash + bytes[index];
        }
        return mix(hash);
    }

    static int of(final long number) {
        return mix(Long.hashCode(number));
    }

    private static int mix(final int hash) {
        final int mixed = hash * GOLDEN_RATIO;
        return mixed ^ mixed >>> 15;
    }

    static boolean same(
            final byte[] one, final int oneFrom, final byte[] other, final int otherFrom, final int length) {
        return Arrays.equals(one, oneFrom, oneFrom + length, other, otherFrom, otherFrom + length);
    }
}
