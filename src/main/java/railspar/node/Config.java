package railspar.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;
import railspar.Courier;
import railspar.bench.Fields;
import railspar.bench.MalformedLineException;
import railspar.bench.SettingsReader;

/**
 * The configuration of a courier: the configuration file, with addresses and folders overridden by the environment.
 * {@code mgmt}, the operators' address, is null where neither sets one. Unknown keys are ignored. A value that cannot
 * be read ends the start with one line that names the value.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress mgmt,
        InetSocketAddress discovery,
        Path state,
        long seed,
        int sockets,
        long diskBytes,
        ConfiguredList known,
        Courier.Settings settings,
        long connectTimeoutUs) {

    private static final int MAX_PORT = 65_535;
    private static final int HEX_RADIX = 16;
    private static final long BYTES_PER_MB = 1_000_000;
    private static final String SOURCE = "configuration";

    /** The reason why a courier cannot start with its configuration. */
    static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(final String reason) {
            super(reason);
        }
    }

    /** Reads the file that {@code PROXY_CONFIG} names. */
    static Config read(final Map<String, String> environment) throws BadConfigException {
        final String file = environment.get("PROXY_CONFIG");
        if (file == null) {
            throw new BadConfigException("PROXY_CONFIG is not set");
        }
        final ConfigFile configFile;
        try {
            configFile = ConfigFile.read(Path.of(file));
        } catch (final IOException e) {
            throw new BadConfigException("cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        return parse(configFile.root(), configFile.configuredList(), environment);
    }

    /** Reads the file again. Its discovery address is newer than the environment's, which only applies at the start. */
    static Config reread(final Map<String, String> environment) throws BadConfigException {
        final Map<String, String> reloadEnvironment = new HashMap<>(environment);
        reloadEnvironment.remove("PROXY_DISCOVERY");
        return read(reloadEnvironment);
    }

    /** Reads a configuration that has been parsed already and contains its list. */
    static Config parse(final JsonNode root, final Map<String, String> environment) throws BadConfigException {
        final byte[] known = root.path("known").toString().getBytes(StandardCharsets.UTF_8);
        return parse(root, ConfiguredList.of(known), environment);
    }

    private static Config parse(final JsonNode root, final ConfiguredList known, final Map<String, String> environment)
            throws BadConfigException {
        if (root == null || !root.isObject()) {
            throw new BadConfigException(SOURCE + ": not a JSON object");
        }
        // Two name spaces: "discovery" is an address outside the settings, and a mode of discovery inside them.
        final Map<String, String> values = new HashMap<>();
        root.properties().forEach(entry -> {
            if (!entry.getKey().equals("known") && !entry.getKey().equals("settings")) {
                flatten(entry.getKey(), entry.getValue(), values);
            }
        });
        final Map<String, String> settingValues = new HashMap<>();
        flatten("", root.path("settings"), settingValues);
        environment.forEach((variable, value) -> {
            switch (variable) {
                case "PROXY_NAME" -> values.put("name", value);
                case "PROXY_LISTEN" -> values.put("listen", value);
                case "PROXY_DISCOVERY" -> values.put("discovery", value);
                case "PROXY_MGMT" -> values.put("mgmt", value);
                case "PROXY_STATE" -> values.put("state", value);
                default -> {}
            }
        });
        final Fields fields = Fields.of(values, SOURCE);
        final Fields settings = Fields.of(settingValues, SOURCE);
        final String fleetSize = settingValues.get("balancers");
        if (!Integer.toString(SettingsReader.fleetSize(settings)).equals(fleetSize)) {
            Log.info("a fleet of " + fleetSize + " couriers cannot be used; using a fleet of "
                    + SettingsReader.fleetSize(settings));
        }
        try {
            final String mgmt = fields.text("mgmt", "");
            return new Config(
                    fields.text("name", "courier"),
                    address("listen", fields.text("listen")),
                    mgmt.isEmpty() ? null : address("mgmt", mgmt),
                    address("discovery", fields.text("discovery")),
                    Path.of(fields.text("state")),
                    seed(fields.text("seed", "0")),
                    (int) atLeastOne(fields, "limits.sockets", 1024),
                    atLeastOne(fields, "limits.disk_mb", 1) * BYTES_PER_MB,
                    known,
                    SettingsReader.read(settings),
                    atLeastOne(settings, "limits.connect_timeout", 1_000_000));
        } catch (final MalformedLineException e) {
            throw new BadConfigException(e.getMessage());
        } catch (final IllegalArgumentException e) {
            throw new BadConfigException(SOURCE + ": " + e.getMessage());
        }
    }

    /** A hash of the settings: a list that was read under them means the same in the next process if it is equal. */
    long fingerprint() {
        try {
            final byte[] text = (name + ' ' + StoredSettingsText.of(settings)).getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text))
                    .getLong();
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** The configuration in one line for the log. */
    String describe() {
        return name + ": " + sockets + " sockets, " + diskBytes + " bytes of disk, " + settings;
    }

    /** Flattens nested values to paths with dots. Plain lists are joined by commas, lists of objects get a count. */
    private static void flatten(final String path, final JsonNode value, final Map<String, String> into) {
        final String prefix = path.isEmpty() ? "" : path + ".";
        if (value.isObject()) {
            value.properties().forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), into));
        } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
            into.put(prefix + "count", Integer.toString(value.size()));
            for (int index = 0; index < value.size(); index++) {
                flatten(prefix + index, value.get(index), into);
            }
        } else if (value.isArray()) {
            final StringBuilder joined = new StringBuilder();
            value.forEach(item -> joined.append(joined.isEmpty() ? "" : ",").append(item.asText()));
            into.put(path, joined.toString());
        } else if (value.isValueNode() && !value.isNull()) {
            into.put(
                    path,
                    value.isNumber() && value.canConvertToExactIntegral()
                            ? value.bigIntegerValue().toString()
                            : value.asText());
        }
    }

    private static long atLeastOne(final Fields fields, final String name, final long defaultValue) {
        final long value = fields.whole(name, defaultValue);
        if (value < 1) {
            throw fields.malformed("'" + name + "' must be at least 1, but is " + value);
        }
        return value;
    }

    private static long seed(final String text) {
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (final NumberFormatException e) {
            throw new IllegalArgumentException("'seed' must be a hexadecimal number, but is '" + text + "'", e);
        }
    }

    /**
     * Parses a numeric IPv4 address with its port; there is no DNS. With port 0 the system chooses a port to listen on.
     */
    static InetSocketAddress address(final String key, final String text) {
        final int colon = text.lastIndexOf(':');
        try {
            final int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT && NetUtil.isValidIpV4Address(text.substring(0, colon))) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (final NumberFormatException e) {
            throw new IllegalArgumentException(
                    "'" + key + "' must be an IPv4 address with a port, but is '" + text + "'", e);
        }
        throw new IllegalArgumentException("'" + key + "' must be an IPv4 address with a port, but is '" + text + "'");
    }
}
