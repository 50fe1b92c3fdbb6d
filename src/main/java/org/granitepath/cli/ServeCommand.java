package org.granitepath.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.granitepath.coordination.Controller;
import org.granitepath.transport.CloudClient;
import org.granitepath.transport.EventLoop;
import org.granitepath.transport.HttpCalls;
import org.granitepath.transport.PeerClient;
import org.granitepath.transport.ServiceServer;
import org.granitepath.transport.StateClient;
import org.granitepath.transport.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(name = "serve", description = "Runs one controller until it is killed.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Option(names = "--tuning", paramLabel = "FILE", description = "operators' own settings (YAML)")
    private Path tuning;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        try {
            start(Settings.read(config, tuning));
            return 0;
        } catch (Settings.Invalid e) {
            spec.commandLine().getErr().println("granitepath: " + e.getMessage());
            return 2;
        } catch (IOException | RuntimeException e) {
            spec.commandLine().getErr().println("granitepath: can't start: " + e.getMessage());
            return 1;
        }
    }

    /** Starts a controller; its threads keep the process alive. */
    static void start(Settings s) throws IOException {
        Logger log = LoggerFactory.getLogger(ServeCommand.class);
        EventLoop loop = new EventLoop();
        HttpCalls http = new HttpCalls(loop);
        Controller controller = new Controller(s.config(), new StateClient(http, s.state()),
                new CloudClient(http, s.cloud()), new WorkerClient(http), new PeerClient(http, s.peerAddresses()), loop);
        ServiceServer.listen(controller, loop, s.listen().host(), s.listen().port(), s.peerListen().host(),
                s.peerListen().port());
        loop.run(controller::start);
        log.info("{} serves on {}:{}", s.config().node(), s.listen().host(), s.listen().port());
    }
}
