package railspar.scale.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.LoopbackPorts;

/** Options of the commands that start real couriers. */
final class CourierOptions {
    private static final int MOST_MEMORY_MB = 4096;
    private static final String ZONE = "r0z0";

    @Option(
            names = "--memory-mb",
            defaultValue = "192",
            description = "limit on memory that the configuration states (default: ${DEFAULT-VALUE})")
    private int memoryMb;

    @Option(
            names = "--project-root",
            defaultValue = ".",
            description = "folder of the built project, with deploy/balancer.toml (default: ${DEFAULT-VALUE})")
    private Path projectRoot;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the plan (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--output", description = "file for the result as JSON")
    private Path output;

    /** Refuses values under which nothing could be run. */
    void check(final CommandSpec spec) {
        atLeast(spec, "--memory-mb", memoryMb, 1);
        if (memoryMb > MOST_MEMORY_MB) {
            throw new ParameterException(spec.commandLine(), "--memory-mb is at most " + MOST_MEMORY_MB);
        }
        if (!Files.isRegularFile(projectRoot.resolve("deploy/balancer.toml"))) {
            throw new ParameterException(
                    spec.commandLine(), "--project-root has no deploy/balancer.toml: " + projectRoot);
        }
    }

    static void atLeast(final CommandSpec spec, final String name, final long value, final long least) {
        if (value < least) {
            throw new ParameterException(spec.commandLine(), name + " is at least " + least + ", not " + value);
        }
    }

    int memoryMb() {
        return memoryMb;
    }

    long seed() {
        return seed;
    }

    Path output() {
        return output;
    }

    /** What a courier that is alone is told, at free ports. */
    CourierConfiguration configuration(final DiscoveryServer discovery, final CourierLimits limits) throws IOException {
        return new CourierConfiguration(
                "n0",
                LoopbackPorts.findFreeAddress(),
                LoopbackPorts.findFreeAddress(),
                discovery.address(),
                limits,
                1,
                ZONE,
                seed);
    }

    /** A courier with a fresh folder under the project's build folder. */
    RealCourier courier(final String name, final CourierConfiguration configuration) throws IOException {
        final Path root = projectRoot.toAbsolutePath().normalize();
        final Path parent = Files.createDirectories(root.resolve("target").resolve("scale"));
        return new RealCourier(
                DeployFile.runCommand(root), root, Files.createTempDirectory(parent, name + "-"), configuration);
    }
}
