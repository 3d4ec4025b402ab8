package railspar.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import railspar.Control;
import railspar.Courier;

/**
 * Translates between the simulator's protocol and {@link Courier}, and makes no decisions itself. Each instance has its
 * own {@link Control}; instances share nothing. Unknown events, settings and fields are ignored.
 */
final class Adapter {
    private static final long US_PER_MS = 1000;

    private final BufferedReader in;
    private final Writer out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, Instance> changedInstances = new TreeMap<>();
    private final Map<Integer, List<Fields>> sheets = new HashMap<>();
    private long nowUs;
    private long lineNumber;

    Adapter(final BufferedReader in, final Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Reads batches and replies to each of them until the input ends. */
    void run() throws IOException {
        String text = in.readLine();
        while (text != null) {
            lineNumber++;
            if (!text.isEmpty()) {
                handle(text);
            }
            text = in.readLine();
        }
    }

    private void handle(final String text) throws IOException {
        final Fields fields = Fields.parse(text, lineNumber);
        switch (fields.tag()) {
            case "batch" -> nowUs = fields.whole("clock");
            case "flush" -> finishBatch();
            case "sheet" -> readSheet(fields);
            case "enlist" -> enlist(fields);
            case "stop" -> {
                instances.remove(instanceId(fields));
                changedInstances.remove(instanceId(fields));
            }
            default -> handleEvent(fields);
        }
    }

    private void finishBatch() throws IOException {
        changedInstances.values().forEach(instance -> instance.reportFailures(() -> instance.control.decide(nowUs)));
        changedInstances.clear();
        reply.append("yield\n");
        out.append(reply);
        out.flush();
        reply.setLength(0);
    }

    private static int instanceId(final Fields fields) {
        return (int) fields.whole("i");
    }

    private void readSheet(final Fields fields) throws IOException {
        final long rows = fields.whole("rows");
        final List<Fields> entries = new ArrayList<>();
        for (long row = 0; row < rows; row++) {
            final String text = in.readLine();
            lineNumber++;
            final Fields entry = text == null ? null : Fields.parse(text, lineNumber);
            if (entry == null || !entry.tag().equals("m")) {
                throw fields.malformed("a sheet of " + rows + " rows ends after row " + row);
            }
            entries.add(entry);
        }
        sheets.put((int) fields.whole("bank"), entries);
    }

    private void enlist(final Fields fields) {
        final int id = instanceId(fields);
        final Instance instance = new Instance(id);
        instances.put(id, instance);
        changedInstances.put(id, instance);
        final Courier.Settings settings = SettingsReader.read(fields);
        instance.settings = settings;
        final List<String> reportedFields = List.of(fields.list("feedback.fields"));
        instance.shareField = reportedFields.indexOf("x0");
        instance.limitField = reportedFields.indexOf("x1");
        instance.reportFailures(() -> instance.control = new Control(settings, fields.whole("nonce64", 0), instance));
    }

    private void handleEvent(final Fields fields) {
        final Instance instance = instances.get(instanceId(fields));
        if (instance == null) {
            throw fields.malformed("'" + fields.tag() + "' for an instance that has not been enlisted");
        }
        final Runnable event =
                switch (fields.tag()) {
                    case "endpoints" -> listUpdate(instance, fields);
                    case "incoming" -> message(instance, fields);
                    case "returned" -> outcome(instance, fields);
                    case "expired" -> {
                        final String ref = fields.text("ref");
                        yield () -> instance.control.onExpired(nowUs, ref);
                    }
                    default -> null;
                };
        changedInstances.put(instance.id, instance);
        if (event != null) {
            instance.reportFailures(event);
        }
    }

    private Runnable listUpdate(final Instance instance, final Fields fields) {
        final Courier.ListUpdate update =
                switch (fields.text("scope")) {
                    case "incr" -> Courier.ListUpdate.INCREMENTAL;
                    case "total" -> Courier.ListUpdate.FULL;
                    case "warm_copy" -> Courier.ListUpdate.CACHED;
                    case "lost" -> Courier.ListUpdate.UNAVAILABLE;
                    default -> throw fields.malformed("unknown scope '" + fields.text("scope") + "'");
                };
        final List<Courier.Endpoint> entries = new ArrayList<>();
        if (update != Courier.ListUpdate.UNAVAILABLE) {
            final List<Fields> rows = sheets.get((int) fields.whole("bank"));
            if (rows == null) {
                throw fields.malformed("no sheet with bank " + fields.text("bank"));
            }
            rows.forEach(row -> entries.add(endpoint(instance, row)));
        }
        return () -> instance.control.onListUpdate(nowUs, update, entries);
    }

    private static Courier.Endpoint endpoint(final Instance instance, final Fields row) {
        final Courier.Condition condition =
                switch (row.text("condition", "U")) {
                    case "U" -> Courier.Condition.LISTED;
                    case "L" -> Courier.Condition.DRAINING;
                    case "D" -> Courier.Condition.GONE;
                    default -> throw row.malformed("unknown condition '" + row.text("condition") + "'");
                };
        final String kindName = row.text("kind", "");
        int kind = -1;
        for (int index = 0; index < instance.settings.destinationKinds().size(); index++) {
            if (instance.settings.destinationKinds().get(index).name().equals(kindName)) {
                kind = index;
            }
        }
        return new Courier.Endpoint(
                row.whole("endpoint"),
                condition,
                row.text("locality", ""),
                row.number("power_hint", 0),
                kind,
                row.whole("cell", 0));
    }

    private Runnable message(final Instance instance, final Fields fields) {
        final String className = fields.text("qos", "");
        int classIndex = -1;
        for (int index = 0; index < instance.settings.classes().size(); index++) {
            if (instance.settings.classes().get(index).name().equals(className)) {
                classIndex = index;
            }
        }
        if (classIndex < 0) {
            throw fields.malformed("unknown class '" + className + "'");
        }
        final String tenantName = fields.text("user_group", "");
        int tenant = -1;
        for (int index = 0; index < instance.settings.tenants().size(); index++) {
            if (instance.settings.tenants().get(index).name().equals(tenantName)) {
                tenant = index;
            }
        }
        final var message = new Courier.Message(
                fields.text("ref"),
                classIndex,
                tenant,
                fields.text("object", null),
                fields.whole("valid_until"),
                fields.whole("destination", 0));
        return () -> instance.control.onMessage(nowUs, message);
    }

    private static Courier.Result result(final Fields fields) {
        return switch (fields.text("reason")) {
            case "served" -> Courier.Result.DELIVERED;
            case "server_error" -> Courier.Result.ERROR;
            case "turned_away" -> Courier.Result.REFUSED;
            case "no_answer" -> Courier.Result.TIMED_OUT;
            case "no_connection" -> Courier.Result.NO_CONNECTION;
            case "connection_lost" -> Courier.Result.RESET;
            case "called_off" -> Courier.Result.CANCELLED;
            case "not_sent" -> Courier.Result.NOT_SENT;
            default -> throw fields.malformed("unknown reason '" + fields.text("reason") + "'");
        };
    }

    private static Courier.ReportedLimit reportedLimit(final Instance instance, final Fields fields) {
        final String[] values = fields.list("load");
        if (values.length == 0
                || instance.shareField < 0
                || instance.limitField < 0
                || Math.max(instance.shareField, instance.limitField) >= values.length) {
            return null;
        }
        return new Courier.ReportedLimit(
                fields.number(values[instance.shareField]), fields.number(values[instance.limitField]));
    }

    private Runnable outcome(final Instance instance, final Fields fields) {
        final Courier.Result result = result(fields);
        final long retryAfterUs = result == Courier.Result.REFUSED ? fields.whole("remark_ms", 0) * US_PER_MS : 0;
        final var outcome = new Courier.Outcome(
                fields.text("ref"),
                result,
                fields.flag("complete"),
                fields.whole("endpoint", 0),
                fields.whole("duration", 0),
                retryAfterUs,
                reportedLimit(instance, fields));
        return () -> instance.control.onOutcome(nowUs, outcome);
    }

    /** One instance: hosts its decisions and writes their actions. */
    private final class Instance implements Courier.Actions {
        private final int id;
        private Courier.Settings settings;
        private Courier control;
        private int shareField = -1;
        private int limitField = -1;

        Instance(final int id) {
            this.id = id;
        }

        /** Runs an event, and reports an exception of the decisions to the simulator with its cause. */
        void reportFailures(final Runnable event) {
            try {
                event.run();
            } catch (final RuntimeException e) {
                final StackTraceElement[] trace = e.getStackTrace();
                final String location = trace.length > 0 ? " at " + trace[0] : "";
                appendAction("die")
                        .append("\twhat=")
                        .append((e + location).replaceAll("\\s+", " "))
                        .append('\n');
                e.printStackTrace();
            }
        }

        private StringBuilder appendAction(final String action) {
            return reply.append(action).append("\ti=").append(id);
        }

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            appendAction("pass_on")
                    .append("\tref=")
                    .append(messageId)
                    .append("\tpatience=")
                    .append(timeoutUs)
                    .append("\tendpoint=")
                    .append(endpoint)
                    .append('\n');
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {
            appendAction("decline").append("\tref=").append(messageId);
            if (retryAfterUs > 0) {
                reply.append("\tretry_after=").append(retryAfterUs);
            }
            reply.append('\n');
        }

        @Override
        public void fail(final String messageId) {
            appendAction("drop_request").append("\tref=").append(messageId).append('\n');
        }

        @Override
        public void cancel(final String messageId, final int attempt) {
            appendAction("stop_attempt")
                    .append("\tref=")
                    .append(messageId)
                    .append("\tleg=")
                    .append(attempt)
                    .append('\n');
        }

        @Override
        public void closeIdleConnections(final long endpoint) {
            appendAction("free_links").append("\tendpoint=").append(endpoint).append('\n');
        }

        @Override
        public void subscribeToList() {
            appendAction("follow").append("\ton=1\n");
        }

        @Override
        public void wakeAfter(final long delayUs) {
            appendAction("remind").append("\tdelay=").append(delayUs).append("\ttoken=0\n");
        }
    }
}
