package railspar.list;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import railspar.Courier;

/** Reads one entry of the list from its fields, which may come in any order. */
final class EntryReader {
    private static final int MOST_PORT = 65_535;
    private static final int MOST_OCTET = 255;
    private static final int OCTETS = 4;
    /** Bytes of UTF-8 that one char can take. */
    private static final int BYTES_PER_CHAR = 3;

    private final StagedEntry entry = new StagedEntry();
    private String name;
    private String dial;
    private String zone;
    private String kind;
    private String health;

    /** Begins an entry. */
    void begin() {
        entry.hasDestination = false;
        entry.weight = 0;
        entry.destination = 0;
        name = "";
        dial = "";
        zone = "";
        kind = "";
        health = "";
    }

    /** Takes a field with a plain value. */
    void readField(final String field, final JsonToken token, final JsonParser value) throws IOException {
        switch (field) {
            case "host" -> name = text(token, value);
            case "dial" -> dial = text(token, value);
            case "site" -> zone = text(token, value);
            case "class" -> kind = text(token, value);
            case "health" -> health = text(token, value);
            case "share" -> entry.weight = weight(token, value);
            case "block" -> destination(token, value);
            default -> {
                // Fields that a newer discovery adds mean nothing here.
            }
        }
    }

    private static String text(final JsonToken token, final JsonParser value) throws IOException {
        return token == JsonToken.VALUE_NULL ? "" : value.getText();
    }

    private static double weight(final JsonToken token, final JsonParser value) throws IOException {
        final double weight;
        if (token.isNumeric()) {
            weight = value.getDoubleValue();
        } else {
            weight = number(text(token, value));
        }
        return Double.isFinite(weight) ? Math.max(0, weight) : 0;
    }

    private static double number(final String text) {
        try {
            return Double.parseDouble(text);
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    private void destination(final JsonToken token, final JsonParser value) throws IOException {
        entry.hasDestination = false;
        if (token == JsonToken.VALUE_NUMBER_INT) {
            entry.hasDestination = value.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
        } else if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            final double number = value.getDoubleValue();
            entry.hasDestination = number >= Long.MIN_VALUE && number <= Long.MAX_VALUE;
        }
        entry.destination = entry.hasDestination ? value.getLongValue() : 0;
    }

    /** Ends the entry; false for one without a name that could be used, which nothing can be made of. */
    boolean end(final StagedList list) throws ListFormatException {
        if (name.isEmpty() || isTooLong()) {
            return false;
        }
        entry.name(name);
        entry.condition = condition();
        entry.hasAddress = readAddress();
        entry.zone = list.zones().numberOf(zone);
        entry.kind = list.kinds().numberOf(kind);
        entry.problem = problemText();
        list.add(entry);
        return true;
    }

    /** What is wrong with the entry that has ended. */
    String problemText() {
        if (isTooLong()) {
            return "a name, zone or kind of more than " + StagedList.MOST_TEXT_BYTES / BYTES_PER_CHAR + " characters";
        }
        if (name.isEmpty() || !entry.hasDestination) {
            return said();
        }
        if (entry.condition == null) {
            return "unknown health '" + health + "' of " + name;
        }
        return entry.hasAddress ? null : "'dial' is no address: '" + dial + "'";
    }

    private String said() {
        return "an entry without a host or a block: '" + name + "' at '" + dial + "'";
    }

    private boolean isTooLong() {
        return Math.max(name.length(), Math.max(zone.length(), kind.length())) * BYTES_PER_CHAR
                > StagedList.MOST_TEXT_BYTES;
    }

    private Courier.Condition condition() {
        return switch (health) {
            case "Ready" -> Courier.Condition.LISTED;
            case "Terminating" -> Courier.Condition.DRAINING;
            case "Gone" -> Courier.Condition.GONE;
            default -> null;
        };
    }

    /** Reads an address in figures with its port; false where it is none. */
    private boolean readAddress() {
        final int colon = dial.lastIndexOf(':');
        if (colon < 0) {
            return false;
        }
        final int port = figures(dial, colon + 1, dial.length(), MOST_PORT);
        int address = 0;
        int from = 0;
        for (int octet = 0; octet < OCTETS; octet++) {
            final int dot = octet == OCTETS - 1 ? colon : dial.indexOf('.', from);
            final int figure = dot < 0 || dot > colon ? -1 : figures(dial, from, dot, MOST_OCTET);
            if (figure < 0) {
                return false;
            }
            address = address << Byte.SIZE | figure;
            from = dot + 1;
        }
        entry.ip = address;
        entry.port = Math.max(0, port);
        return port >= 0;
    }

    /** The number that these characters say, or -1. */
    private static int figures(final String text, final int from, final int to, final int most) {
        int number = 0;
        for (int index = from; index < to; index++) {
            final int figure = text.charAt(index) - '0';
            if (figure < 0 || figure > 9) {
                return -1;
            }
            number = number * 10 + figure;
            if (number > most) {
                return -1;
            }
        }
        return from == to ? -1 : number;
    }
}
