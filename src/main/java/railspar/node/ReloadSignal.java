package railspar.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a Java process that does not handle it. The JDK class for signals is in a module that is
 * open to all code, but the compiler warns wherever the class is named, so it is loaded by its name and reflection.
 */
final class ReloadSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private ReloadSignal() {}

    /** Runs an action at each SIGHUP from now on, on a thread of the JDK. */
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
            final Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            final Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            final Object proxy =
                    Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, handler);
            final Object previousHandler = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), proxy);
            if (handlerClass.getField("SIG_IGN").get(null).equals(previousHandler)) {
                // As under nohup: a JVM does not handle a signal that it was started to ignore.
                Log.info("SIGHUP is ignored by the parent process, so new configurations will not be read");
            }
        } catch (final ReflectiveOperationException e) {
            Log.failure("SIGHUP cannot be handled and would end the courier", e);
        }
    }
}
