package org.granitepath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A subcommand. Its options are the annotated fields. */
abstract class Command {
    /** The exit status of a command that did its work, or began it. */
    static final int OK = 0;

    /** The exit status of a command that could not go on. */
    static final int FAILED = 1;
    /** The exit status for arguments or settings that can't be used. */
    static final int USAGE_ERROR = 2;

    @Parameter(
            names = {"-h", "--help"},
            help = true,
            description = "shows this text")
    boolean help;

    /** Runs and returns the exit status; {@code OK} leaves the process alive while its threads live. */
    abstract int run() throws InvalidSettingException, IOException, InterruptedException;

    /** The options of commands that read settings. */
    abstract static class WithSettings extends Command {
        @Parameter(
                names = "--config",
                required = true,
                converter = PathConverter.class,
                description = "FILE: the platform's settings (TOML)")
        @Nullable
        Path config;

        @Parameter(
                names = "--tuning",
                converter = PathConverter.class,
                description = "FILE: operators' own settings (YAML)")
        @Nullable
        Path tuning;

        @Parameter(
                names = "--live-first",
                description =
                        "after a change of leader, holds other work until services are placed, for a bounded time")
        boolean liveFirst;

        /** Reads the settings that the options name. */
        Settings settings() throws InvalidSettingException {
            return Settings.read(Objects.requireNonNull(config, "--config"), tuning, liveFirst);
        }
    }
}
