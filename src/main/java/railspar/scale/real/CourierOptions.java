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
    private static final int MAX_MEMORY_MB = 4096;
    private static final String ZONE = "r0z0";

    @Option(
            names = "--memory-mb",
            defaultValue = "192",
            description = "memory limit in the configuration (default: ${DEFAULT-VALUE})")
    private int memoryMb;

    @Option(
            names = "--project-root",
            defaultValue = ".",
            description = "folder of the built project, with deploy/balancer.toml (default: ${DEFAULT-VALUE})")
    private Path projectRoot;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the fleet plan and of the courier (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--output", description = "file for the result as JSON")
    private Path output;

    /** Rejects option values with which no courier could be started. */
    void check(final CommandSpec spec) {
        requireAtLeast(spec, "--memory-mb", memoryMb, 1);
        if (memoryMb > MAX_MEMORY_MB) {
            throw new ParameterException(spec.commandLine(), "--memory-mb must be at most " + MAX_MEMORY_MB);
        }
        if (!Files.isRegularFile(projectRoot.resolve("deploy/balancer.toml"))) {
            throw new ParameterException(
                    spec.commandLine(), "--project-root has no deploy/balancer.toml: " + projectRoot);
        }
    }

    static void requireAtLeast(final CommandSpec spec, final String name, final long value, final long minimum) {
        if (value < minimum) {
            throw new ParameterException(spec.commandLine(), name + " must be at least " + minimum + ", not " + value);
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

    /** The configuration of the only courier of a fleet, on free ports. */
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

    /** A courier with a new folder of its own under the project's build folder. */
    RealCourier courier(final String name, final CourierConfiguration configuration) throws IOException {
        final Path root = projectRoot.toAbsolutePath().normalize();
        final Path parent = Files.createDirectories(root.resolve("target").resolve("scale"));
        return new RealCourier(
                DeployFile.runCommand(root), root, Files.createTempDirectory(parent, name + "-"), configuration);
    }
}
