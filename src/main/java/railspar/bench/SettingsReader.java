package railspar.bench;

import java.util.ArrayList;
import java.util.List;
import railspar.Courier;

/** Reads the settings of an {@code enlist} line or of a courier's configuration. Absent settings impose no limit. */
public final class SettingsReader {
    private static final long UNLIMITED_US = 3_600_000_000L;
    private static final long MAX_FLEET_SIZE = 100_000;

    private SettingsReader() {}

    /** Reads all settings that the decisions use. */
    public static Courier.Settings read(final Fields fields) {
        final Courier.WeightMeaning weightMeaning =
                switch (fields.text("weights", "none")) {
                    case "nominal" -> Courier.WeightMeaning.NOMINAL;
                    case "rough" -> Courier.WeightMeaning.ROUGH;
                    default -> Courier.WeightMeaning.NONE;
                };
        return new Courier.Settings(
                fleetSize(fields),
                fields.text("my_zone", ""),
                fields.text("discovery", "pushed").equals("on_request"),
                weightMeaning,
                fields.text("extra.fades", "linear").equals("halving")
                        ? Courier.ValueDecay.HALVING
                        : Courier.ValueDecay.LINEAR,
                classes(fields),
                tenants(fields),
                destinationKinds(fields),
                ruleParameters(fields),
                limits(fields));
    }

    /**
     * The number of couriers in the fleet, limited to the allowed range. A size that cannot be read counts as 1: the
     * fleet has at least this courier, and a bad size must not keep the courier from serving.
     */
    public static int fleetSize(final Fields fields) {
        try {
            return (int) Math.max(1, Math.min(MAX_FLEET_SIZE, fields.whole("balancers", 1)));
        } catch (final MalformedLineException e) {
            return 1;
        }
    }

    private static List<Courier.MessageClass> classes(final Fields fields) {
        final List<Courier.MessageClass> classes = new ArrayList<>();
        for (int index = 0; index < fields.whole("classes.count", 0); index++) {
            final String prefix = "classes." + index + ".";
            final Courier.Effect effect =
                    switch (fields.text(prefix + "effect", "side_effect")) {
                        case "pure" -> Courier.Effect.SAFE;
                        case "token" -> Courier.Effect.KEYED;
                        default -> Courier.Effect.UNSAFE;
                    };
            final long deadlineUs = fields.whole(prefix + "deadline", UNLIMITED_US);
            classes.add(new Courier.MessageClass(
                    fields.text(prefix + "name", ""),
                    effect,
                    !fields.text(prefix + "group", "all").equals("all"),
                    fields.flag(prefix + "in_turn"),
                    fields.number(prefix + "points", 1),
                    fields.number(prefix + "late_worth", 0),
                    fields.whole(prefix + "target", deadlineUs),
                    deadlineUs,
                    fields.whole(prefix + "dedup_window", 0)));
        }
        return classes;
    }

    private static List<Courier.Tenant> tenants(final Fields fields) {
        final List<Courier.Tenant> tenants = new ArrayList<>();
        for (int index = 0; index < fields.whole("tenants.count", 0); index++) {
            final String prefix = "tenants." + index + ".";
            tenants.add(new Courier.Tenant(fields.text(prefix + "name", ""), fields.number(prefix + "quota_rps", 0)));
        }
        return tenants;
    }

    private static List<Courier.DestinationKind> destinationKinds(final Fields fields) {
        final String[] names = fields.list("flavors");
        final String[] separateRoutes = fields.list("extra.routes_apart");
        final String[] perCall = fields.list("extra.per_call");
        final List<Courier.DestinationKind> kinds = new ArrayList<>();
        for (int index = 0; index < names.length; index++) {
            kinds.add(new Courier.DestinationKind(
                    names[index],
                    index < separateRoutes.length && separateRoutes[index].equals("true"),
                    index < perCall.length ? (int) fields.number(perCall[index]) : 1));
        }
        return kinds;
    }

    private static Courier.RuleParameters ruleParameters(final Fields fields) {
        return new Courier.RuleParameters(
                fields.whole("guarantees.must_ask_in", UNLIMITED_US),
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
                fields.whole("limits.idle_close", UNLIMITED_US),
                (int) fields.whole("limits.multiplex", 1),
                fields.flag("limits.retry_after") ? fields.whole("limits.max_retry_after", 0) : 0);
    }
}
