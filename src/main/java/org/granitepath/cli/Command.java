package org.granitepath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import java.nio.file.Path;

/** A subcommand. Its options are the annotated fields. */
abstract class Command {
    /** What the shell is told. */
    static final int OK = 0;

    static final int FAILED = 1;
    static final int BAD_USE = 2;

    @Parameter(
            names = {"-h", "--help"},
            help = true,
            description = "shows this text")
    boolean help;

    /** Runs and returns the exit status; {@code OK} leaves the process alive while its threads live. */
    abstract int run() throws Exception;

    /** The options of commands that read settings. */
    abstract static class WithSettings extends Command {
        @Parameter(
                names = "--config",
                required = true,
                converter = PathConverter.class,
                description = "FILE: the platform's settings (TOML)")
        Path config;

        @Parameter(
                names = "--tuning",
                converter = PathConverter.class,
                description = "FILE: operators' own settings (YAML)")
        Path tuning;

        @Parameter(
                names = "--live-first",
                description =
                        "after a change of leader, holds other work until services are placed, for a bounded time")
        boolean liveFirst;

        Settings settings() throws Settings.Invalid {
            return Settings.read(config, tuning, liveFirst);
        }
    }
}
