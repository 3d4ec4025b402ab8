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
 * The command line of the scale tools. Exit codes: 0 when a command has done its work, 1 when it failed or found a
 * sum that does not come out even, 2 for bad arguments.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Plays the couriers' surroundings at a chosen size, and measures.",
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

    /** Runs a command and ends the process with its exit code. */
    public static void main(final String[] arguments) {
        System.exit(execute(arguments));
    }

    /** Runs a command; the result is its exit code. */
    public static int execute(final String... arguments) {
        return new CommandLine(new ScaleCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(arguments);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is needed");
    }
}
