package railspar.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import railspar.scale.real.BacklogSlopeCommand;
import railspar.scale.real.ChangeScheduleCommand;
import railspar.scale.real.ListSlopeCommand;
import railspar.scale.slope.SlopeCommand;

/**
 * The command line of the scale tools. Exit codes: 0 on success, 1 when a command failed or a consistency check does
 * not hold, 2 for invalid arguments.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Simulates the surroundings of couriers at a chosen size and measures the couriers.",
        subcommands = {
            RunCommand.class,
            SlopeCommand.class,
            ListSlopeCommand.class,
            BacklogSlopeCommand.class,
            ChangeScheduleCommand.class
        })
public final class ScaleCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs a command and exits the process with its exit code. */
    public static void main(final String[] arguments) {
        System.exit(execute(arguments));
    }

    /** Runs a command and returns its exit code. */
    public static int execute(final String... arguments) {
        return new CommandLine(new ScaleCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(arguments);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required");
    }
}
