package org.granitepath.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(name = "check-config", description = "Checks settings and says what is wrong with them.",
        mixinStandardHelpOptions = true)
final class CheckConfigCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Option(names = "--tuning", paramLabel = "FILE", description = "operators' own settings (YAML)")
    private Path tuning;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        try {
            Settings s = Settings.read(config, tuning);
            spec.commandLine().getOut().println("ok: " + s.config().node() + " with " + s.peerAddresses().size()
                    + " others, " + s.config().teams().size() + " teams");
            return 0;
        } catch (Settings.Invalid e) {
            spec.commandLine().getErr().println("granitepath: " + e.getMessage());
            return 2;
        }
    }
}
