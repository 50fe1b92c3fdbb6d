package org.granitepath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.opentelemetry.api.GlobalOpenTelemetry;
import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.granitepath.coordination.Controller;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.transport.CloudClient;
import org.granitepath.transport.EventLoop;
import org.granitepath.transport.HttpCalls;
import org.granitepath.transport.HttpServers;
import org.granitepath.transport.KeyValueStoreClient;
import org.granitepath.transport.OpenTelemetryRecoveryTracer;
import org.granitepath.transport.PeerClient;
import org.granitepath.transport.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one controller. */
@Parameters(commandDescription = "runs one controller until it is killed")
final class ServeCommand extends Command.WithSettings {
    @Parameter(
            names = "--trace-recovery",
            description = "records recoveries as OpenTelemetry spans; requires an agent that provides the SDK")
    boolean traceRecovery;

    @Override
    int run() throws InvalidSettingException, IOException {
        start(settings(), traceRecovery);
        return OK;
    }

    /**
     * Starts a controller, whose threads keep the process alive. Everything is created on the event loop, so that only
     * one thread reads during startup: see the known faults in docs/results.md.
     *
     * @throws IOException if the controller cannot start
     */
    static void start(Settings settings, boolean traceRecovery) throws IOException {
        EventLoop loop = new EventLoop();
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                serve(settings, loop, traceRecovery);
                started.complete(null);
            } catch (RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        try {
            started.join();
        } catch (CompletionException e) {
            Throwable cause = Objects.requireNonNullElse(e.getCause(), e);
            throw new IOException(cause.getMessage(), cause);
        }
    }

    private static void serve(Settings settings, EventLoop loop, boolean traceRecovery) {
        // Created here, on the event loop, like everything else during startup.
        Logger log = LoggerFactory.getLogger(ServeCommand.class);
        HttpCalls http = new HttpCalls(loop);
        Controller controller = new Controller(
                settings.config(),
                new KeyValueStoreClient(http, settings.storeAddress()),
                new CloudClient(http, settings.cloudAddress()),
                new WorkerClient(http),
                new PeerClient(http, settings.peerAddresses()),
                loop,
                traceRecovery ? new OpenTelemetryRecoveryTracer(GlobalOpenTelemetry.get()) : RecoveryTracer.NONE);
        HttpServers.listen(
                controller, settings.config().limits(), loop, settings.listenAddress(), settings.peerListenAddress());
        controller.start();
        log.info(
                "{}: serving requests on {}:{}",
                settings.config().node(),
                settings.listenAddress().host(),
                settings.listenAddress().port());
    }
}
