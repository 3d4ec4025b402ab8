package railspar.bench;

import java.util.ArrayList;
import java.util.List;
import railspar.Courier;

/** Reads the settings of an {@code enlist} line or of a courier's configuration. Absent ones restrict nothing. */
public final class SettingsReader {
    private static final long FOREVER_US = 3_600_000_000L;
    private static final long MOST_COURIERS = 100_000;

    private SettingsReader() {}

    /** Reads all settings that the decisions ask for. */
    public static Courier.Settings read(final Fields fields) {
        final Courier.WeightMeaning weights =
                switch (fields.text("weights", "none")) {
                    case "nominal" -> Courier.WeightMeaning.NOMINAL;
                    case "rough" -> Courier.WeightMeaning.ROUGH;
                    default -> Courier.WeightMeaning.NONE;
                };
        return new Courier.Settings(
                courierCount(fields),
                fields.text("my_zone", ""),
                fields.text("discovery", "pushed").equals("on_request"),
                weights,
                fields.text("extra.fades", "linear").equals("halving")
                        ? Courier.ValueDecay.HALVING
                        : Courier.ValueDecay.LINEAR,
                classes(fields),
                tenants(fields),
                kinds(fields),
                guarantees(fields),
                limits(fields));
    }

    /** A fleet has this courier at least, whatever its size is told as: that is no reason not to serve. */
    public static int courierCount(final Fields fields) {
        try {
            return (int) Math.max(1, Math.min(MOST_COURIERS, fields.whole("balancers", 1)));
        } catch (final MalformedLineException e) {
            return 1;
        }
    }

    private static List<Courier.MessageClass> classes(final Fields fields) {
        final List<Courier.MessageClass> classes = new ArrayList<>();
        for (int index = 0; index < fields.whole("classes.count", 0); index++) {
            final String path = "classes." + index + ".";
            final Courier.Effect effect =
                    switch (fields.text(path + "effect", "side_effect")) {
                        case "pure" -> Courier.Effect.SAFE;
                        case "token" -> Courier.Effect.KEYED;
                        default -> Courier.Effect.UNSAFE;
                    };
            final long deadlineUs = fields.whole(path + "deadline", FOREVER_US);
            classes.add(new Courier.MessageClass(
                    fields.text(path + "name", ""),
                    effect,
                    !fields.text(path + "group", "all").equals("all"),
                    fields.flag(path + "in_turn"),
                    fields.number(path + "points", 1),
                    fields.number(path + "late_worth", 0),
                    fields.whole(path + "target", deadlineUs),
                    deadlineUs,
                    fields.whole(path + "dedup_window", 0)));
        }
        return classes;
    }

    private static List<Courier.Tenant> tenants(final Fields fields) {
        final List<Courier.Tenant> tenants = new ArrayList<>();
        for (int index = 0; index < fields.whole("tenants.count", 0); index++) {
            final String path = "tenants." + index + ".";
            tenants.add(new Courier.Tenant(fields.text(path + "name", ""), fields.number(path + "quota_rps", 0)));
        }
        return tenants;
    }

    private static List<Courier.DestinationKind> kinds(final Fields fields) {
        final String[] names = fields.list("flavors");
        final String[] apart = fields.list("extra.routes_apart");
        final String[] perCall = fields.list("extra.per_call");
        final List<Courier.DestinationKind> kinds = new ArrayList<>();
        for (int index = 0; index < names.length; index++) {
            kinds.add(new Courier.DestinationKind(
                    names[index],
                    index < apart.length && apart[index].equals("true"),
                    index < perCall.length ? (int) fields.number(perCall[index]) : 1));
        }
        return kinds;
    }

    private static Courier.RuleParameters guarantees(final Fields fields) {
        return new Courier.RuleParameters(
                fields.whole("guarantees.must_ask_in", FOREVER_US),
                fields.number("guarantees.cold_from", 1),
                fields.whole("guarantees.cold", 0),
                fields.number("guarantees.tip_multiple", 1),
                fields.whole("guarantees.order_settle", 0));
    }

    private static Courier.Limits limits(final Fields fields) {
        return new Courier.Limits(
                (int) fields.whole("extra.calls_out", Integer.MAX_VALUE),
                (int) fields.whole("limits.max_open", Integer.MAX_VALUE),
                (int) fields.whole("limits.most_tries", Integer.MAX_VALUE),
                fields.flag("limits.cancel"),
                fields.whole("limits.idle_close", FOREVER_US),
                (int) fields.whole("limits.multiplex", 1),
                fields.flag("limits.retry_after") ? fields.whole("limits.max_retry_after", 0) : 0);
    }
}
