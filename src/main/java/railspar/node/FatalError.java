package railspar.node;

/**
 * Ends the process on a {@link VirtualMachineError}, in particular when memory runs out. After such an error the state
 * of the event loop is unknown, and Netty would swallow the error and leave a live courier that answers nobody. The
 * platform restarts the courier, which recovers its open messages from the journal. Other errors do not end the
 * process: a class that cannot be loaded while no file descriptor is free can be loaded once one is.
 */
final class FatalError {
    /** The same exit status as the virtual machine's own when it detects that memory ran out. */
    static final int EXIT_STATUS = 3;

    private FatalError() {}

    /** Logs a line and ends the process if the cause or one of its causes is such an error; returns otherwise. */
    static void exitOn(final String context, final Throwable cause) {
        for (Throwable error = cause; error != null; error = error.getCause()) {
            if (error instanceof VirtualMachineError) {
                end(context, error);
            }
        }
    }

    private static void end(final String context, final Throwable error) {
        try {
            System.err.println("terminating: " + context + ": " + error);
            error.printStackTrace();
        } finally {
            // Ends the process even if there is no memory left to print the line.
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }

    /** Wraps a task so that such an error in it ends the process. */
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
