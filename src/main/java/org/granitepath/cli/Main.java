package org.granitepath.cli;

import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The granitepath program. Each operation is a subcommand of its own. */
@Command(name = "granitepath", description = "A deadline-aware fair cluster scheduler.", mixinStandardHelpOptions = true,
        version = "granitepath 0.1.0", synopsisSubcommandLabel = "COMMAND",
        subcommands = {ServeCommand.class, CheckConfigCommand.class, RehearseCommand.class})
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        configureLogging(System.getenv("LOG_LEVEL"));
        int status = new CommandLine(new Main()).execute(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Before the first logger is made. */
    private static void configureLogging(String level) {
        String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", wanted.matches("error|warn|info|debug") ? wanted
                : "info");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "warn");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }
}
