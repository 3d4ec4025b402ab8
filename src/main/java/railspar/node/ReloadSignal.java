package railspar.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java process unless something handles it. The class that can is the JDK's own, in a module
 * that is open to all but that the compiler warns of wherever it is named; so it is named here as text alone.
 */
final class ReloadSignal {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private ReloadSignal() {}

    /** Runs an action at each SIGHUP from now on, on a thread of the JDK's. */
    static void handle(final Runnable action) {
        final InvocationHandler handler = (proxy, method, arguments) -> switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
        try {
            final Class<?> signal = Class.forName(SIGNAL);
            final Class<?> type = Class.forName(HANDLER);
            final Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
            final Object before = signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            if (type.getField("SIG_IGN").get(null).equals(before)) {
                // As under nohup: a JVM leaves a signal alone that it was started to ignore.
                Log.info("SIGHUP is ignored by whoever started this courier: a new configuration will not be seen");
            }
        } catch (final ReflectiveOperationException e) {
            Log.failure("SIGHUP cannot be handled and would end the courier", e);
        }
    }
}
