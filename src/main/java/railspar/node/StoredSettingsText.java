package railspar.node;

import java.util.stream.Collector;
import java.util.stream.Collectors;
import railspar.Courier;

/**
 * Writes the settings as the text from which the fingerprint of a stored list is computed. The names in the text belong
 * to the stored format: a stored list with another fingerprint is dropped, so they stay when fields are renamed.
 */
final class StoredSettingsText {
    private StoredSettingsText() {}

    static String of(final Courier.Settings settings) {
        return "Settings[couriers=" + settings.fleetSize() + ", zone=" + settings.zone() + ", listOnRequest="
                + settings.listOnRequest() + ", weights=" + settings.weightMeaning() + ", fade="
                + settings.valueDecay() + ", classes="
                + settings.classes().stream().map(StoredSettingsText::of).collect(list()) + ", tenants="
                + settings.tenants().stream().map(StoredSettingsText::of).collect(list()) + ", kinds="
                + settings.destinationKinds().stream()
                        .map(StoredSettingsText::of)
                        .collect(list())
                + ", guarantees=" + of(settings.ruleParameters()) + ", limits=" + of(settings.limits()) + "]";
    }

    private static Collector<CharSequence, ?, String> list() {
        return Collectors.joining(", ", "[", "]");
    }

    private static String of(final Courier.MessageClass messageClass) {
        return "MessageClass[name=" + messageClass.name() + ", effect=" + messageClass.effect() + ", zoneKeyed="
                + messageClass.dedupPerZone() + ", inTurn=" + messageClass.ordered() + ", worth="
                + messageClass.value() + ", lateWorth=" + messageClass.lateValue() + ", aimUs="
                + messageClass.targetUs() + ", deadlineUs=" + messageClass.deadlineUs() + ", keyWindowUs="
                + messageClass.dedupWindowUs() + "]";
    }

    private static String of(final Courier.Tenant tenant) {
        return "Tenant[name=" + tenant.name() + ", quotaPerSecond=" + tenant.quotaPerSecond() + "]";
    }

    private static String of(final Courier.DestinationKind kind) {
        return "Kind[name=" + kind.name() + ", routesApart=" + kind.separateRoutes() + ", messagesPerCall="
                + kind.messagesPerCall() + "]";
    }

    private static String of(final Courier.RuleParameters rules) {
        return "Guarantees[mustAskUs=" + rules.listRequestDeadlineUs() + ", coldFrom=" + rules.coldCapacityShare()
                + ", coldUs=" + rules.warmupUs() + ", tipMultiple=" + rules.overloadMultiple() + ", orderSettleUs="
                + rules.orderingDelayUs() + "]";
    }

    private static String of(final Courier.Limits limits) {
        return "Limits[slots=" + limits.maxCalls() + ", maxOpen=" + limits.maxOpenMessages()
                + ", mostAttempts=" + limits.maxAttempts() + ", mayCancel=" + limits.canCancel() + ", idleCloseUs="
                + limits.idleTimeoutUs() + ", multiplex=" + limits.streamsPerConnection() + ", maxRetryAfterUs="
                + limits.maxRetryAfterUs() + "]";
    }
}
