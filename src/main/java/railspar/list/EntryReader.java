package railspar.list;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import railspar.Courier;

/** Reads one entry of the list from its JSON fields, which may come in any order. */
final class EntryReader {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int ADDRESS_OCTETS = 4;
    /** A Java char takes at most three bytes in UTF-8. */
    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;

    private final StagedEntry entry = new StagedEntry();
    private String name;
    private String address;
    private String zone;
    private String kind;
    private String health;

    /** Starts a new entry and clears the fields of the previous one. */
    void begin() {
        entry.hasDestination = false;
        entry.weight = 0;
        entry.destination = 0;
        name = "";
        address = "";
        zone = "";
        kind = "";
        health = "";
    }

    /** Reads a field with a scalar value. */
    void readField(final String field, final JsonToken token, final JsonParser value) throws IOException {
        switch (field) {
            case "host" -> name = readText(token, value);
            case "dial" -> address = readText(token, value);
            case "site" -> zone = readText(token, value);
            case "class" -> kind = readText(token, value);
            case "health" -> health = readText(token, value);
            case "share" -> entry.weight = readWeight(token, value);
            case "block" -> readDestination(token, value);
            default -> {
                // Unknown fields, which a newer version of discovery may send, are ignored.
            }
        }
    }

    private static String readText(final JsonToken token, final JsonParser value) throws IOException {
        return token == JsonToken.VALUE_NULL ? "" : value.getText();
    }

    private static double readWeight(final JsonToken token, final JsonParser value) throws IOException {
        final double weight;
        if (token.isNumeric()) {
            weight = value.getDoubleValue();
        } else {
            weight = parseWeight(readText(token, value));
        }
        return Double.isFinite(weight) ? Math.max(0, weight) : 0;
    }

    private static double parseWeight(final String text) {
        try {
            return Double.parseDouble(text);
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    private void readDestination(final JsonToken token, final JsonParser value) throws IOException {
        entry.hasDestination = false;
        if (token == JsonToken.VALUE_NUMBER_INT) {
            entry.hasDestination = value.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
        } else if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            final double number = value.getDoubleValue();
            entry.hasDestination = number >= Long.MIN_VALUE && number <= Long.MAX_VALUE;
        }
        entry.destination = entry.hasDestination ? value.getLongValue() : 0;
    }

    /** Completes the entry and adds it to the list; false, without adding it, if it has no name or too long a text. */
    boolean end(final StagedList list) throws ListFormatException {
        if (name.isEmpty() || isTooLong()) {
            return false;
        }
        entry.setName(name);
        entry.condition = condition();
        entry.hasAddress = readAddress();
        entry.zone = list.zones().numberOf(zone);
        entry.kind = list.kinds().numberOf(kind);
        entry.problem = problemText();
        list.add(entry);
        return true;
    }

    /** What is wrong with the completed entry, or null. */
    String problemText() {
        if (isTooLong()) {
            return "'host', 'site' or 'class' has more than " + StagedList.MAX_TEXT_BYTES / MAX_UTF8_BYTES_PER_CHAR
                    + " characters";
        }
        if (name.isEmpty() || !entry.hasDestination) {
            return missingFieldProblem();
        }
        if (entry.condition == null) {
            return "'health' has the unknown value '" + health + "' for " + name;
        }
        return entry.hasAddress ? null : "'dial' is not an IPv4 address with a port: '" + address + "'";
    }

    private String missingFieldProblem() {
        return "'host' is missing or 'block' is not an integer: host '" + name + "', dial '" + address + "'";
    }

    private boolean isTooLong() {
        return Math.max(name.length(), Math.max(zone.length(), kind.length())) * MAX_UTF8_BYTES_PER_CHAR
                > StagedList.MAX_TEXT_BYTES;
    }

    private Courier.Condition condition() {
        return switch (health) {
            case "Ready" -> Courier.Condition.LISTED;
            case "Terminating" -> Courier.Condition.DRAINING;
            case "Gone" -> Courier.Condition.GONE;
            default -> null;
        };
    }

    /** Parses an IPv4 address in dotted decimal with a port; false if the text is not one. */
    private boolean readAddress() {
        final int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return false;
        }
        final int port = parseDecimal(address, colon + 1, address.length(), MAX_PORT);
        int ip = 0;
        int from = 0;
        for (int octet = 0; octet < ADDRESS_OCTETS; octet++) {
            final int dot = octet == ADDRESS_OCTETS - 1 ? colon : address.indexOf('.', from);
            final int value = dot < 0 || dot > colon ? -1 : parseDecimal(address, from, dot, MAX_OCTET);
            if (value < 0) {
                return false;
            }
            ip = ip << Byte.SIZE | value;
            from = dot + 1;
        }
        entry.ip = ip;
        entry.port = Math.max(0, port);
        return port >= 0;
    }

    /** The decimal number in a range of the text, or -1 if it is not a number from 0 to {@code max}. */
    private static int parseDecimal(final String text, final int from, final int to, final int max) {
        int number = 0;
        for (int index = from; index < to; index++) {
            final int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = number * 10 + digit;
            if (number > max) {
                return -1;
            }
        }
        return from == to ? -1 : number;
    }
}
