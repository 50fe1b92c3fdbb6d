package org.granitepath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A subcommand of the program. The annotated fields are its options. */
abstract class Command {
    /** Exit status of a command that completed, or that started a process that continues to run. */
    static final int OK = 0;

    /** Exit status of a command that failed. */
    static final int FAILED = 1;
    /** Exit status for invalid arguments or settings. */
    static final int USAGE_ERROR = 2;

    @Parameter(
            names = {"-h", "--help"},
            help = true,
            description = "shows this help")
    boolean help;

    /** Runs the command and returns the exit status. After {@code OK} the process lives as long as its threads. */
    abstract int run() throws InvalidSettingException, IOException, InterruptedException;

    /** A command that reads settings, with the options for them. */
    abstract static class WithSettings extends Command {
        @Parameter(
                names = "--config",
                required = true,
                converter = PathConverter.class,
                description = "FILE: settings of the platform (TOML)")
        @Nullable
        Path config;

        @Parameter(
                names = "--tuning",
                converter = PathConverter.class,
                description = "FILE: tuning settings of the operators (YAML)")
        @Nullable
        Path tuning;

        @Parameter(
                names = "--live-first",
                description = "after a leader change, delays other work until services are placed, for a limited time")
        boolean liveFirst;

        /**
         * Reads and validates the settings files that the options name.
         *
         * @throws InvalidSettingException if a setting is invalid
         */
        Settings settings() throws InvalidSettingException {
            return Settings.read(Objects.requireNonNull(config, "--config"), tuning, liveFirst);
        }
    }
}
