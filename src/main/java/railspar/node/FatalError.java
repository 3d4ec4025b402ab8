package railspar.node;

/**
 * Ends the process on a {@link VirtualMachineError}, above all where memory ran out. After one the state of the
 * event loop is unknown, and the framework would swallow it and leave a courier that is alive and answers nobody.
 * The platform starts the courier again, and its journal holds what it owes. Other errors end nothing: a class that
 * cannot be read while no descriptor is left can be read once there is one.
 */
final class FatalError {
    /** What the virtual machine ends with as well where it sees for itself that memory ran out. */
    static final int EXIT_STATUS = 3;

    private FatalError() {}

    /** Ends the process with a line if such an error is the cause or behind it; returns for any other. */
    static void exitOn(final String what, final Throwable cause) {
        for (Throwable one = cause; one != null; one = one.getCause()) {
            if (one instanceof VirtualMachineError) {
                end(what, one);
            }
        }
    }

    private static void end(final String what, final Throwable error) {
        try {
            System.err.println("terminating: " + what + ": " + error);
            error.printStackTrace();
        } finally {
            // Even if there is no memory left for the line.
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }

    /** The same task, with such an error in it ending the process. */
    static Runnable guarded(final Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (final VirtualMachineError e) {
                end("event loop", e);
                throw e;
            }
        };
    }
}
