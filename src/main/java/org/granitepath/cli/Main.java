package org.granitepath.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Entry point of the granitepath program. Each operation is a subcommand. */
public final class Main {
    private static final String VERSION = "granitepath 0.1.0";

    private Main() {}

    /** Runs the subcommand that the arguments name and exits with its status unless it succeeded. */
    public static void main(String[] args) {
        configureLogging(System.getenv("LOG_LEVEL"));
        int status = execute(args);
        if (status != Command.OK) {
            System.exit(status);
        }
    }

    /** Runs the subcommand that the arguments name and returns the exit status. Errors are written to stderr. */
    static int execute(String... args) {
        try {
            return run(args);
        } catch (InvalidSettingException e) {
            System.err.println("granitepath: " + e.getMessage());
            return Command.USAGE_ERROR;
        } catch (ParameterException e) {
            System.err.println("granitepath: " + usageErrorMessage(e));
            return Command.USAGE_ERROR;
        } catch (Exception e) {
            // Top-level handler: reports any other error in one line and by the exit status.
            System.err.println("granitepath: failed: " + e.getMessage());
            return Command.FAILED;
        }
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("serve", new ServeCommand());
        commands.put("check-config", new CheckConfigCommand());
        commands.put("rehearse", new ClassArchiveTrainingCommand());
        return commands;
    }

    private static JCommander parser(Map<String, Command> commands) {
        JCommander.Builder builder = JCommander.newBuilder().programName("granitepath");
        commands.forEach(builder::addCommand);
        return builder.build();
    }

    private static int run(String... args) throws InvalidSettingException, IOException, InterruptedException {
        Map<String, Command> commands = commands();
        JCommander parser = parser(commands);
        if (args.length == 1 && args[0].equals("--version")) {
            System.out.println(VERSION);
            return Command.OK;
        }
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            parser.usage();
            return args.length == 0 ? Command.USAGE_ERROR : Command.OK;
        }
        parser.parse(args);
        Command command = Objects.requireNonNull(commands.get(parser.getParsedCommand()), "no subcommand");
        if (command.help) {
            parser.getUsageFormatter().usage(parser.getParsedCommand());
            return Command.OK;
        }
        return command.run();
    }

    /** Returns the parser's message, reworded for unknown options, which the parser mistakes for arguments. */
    private static String usageErrorMessage(ParameterException exception) {
        return String.valueOf(exception.getMessage())
                .replaceFirst("Was passed main parameter ('.*?') but.*", "unknown option or argument $1");
    }

    /** Configures SLF4J's simple logger. Must be called before the first logger is created. */
    private static void configureLogging(@Nullable String level) {
        String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty(
                "org.slf4j.simpleLogger.defaultLogLevel", wanted.matches("error|warn|info|debug") ? wanted : "info");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "warn");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }
}
