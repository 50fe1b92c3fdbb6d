package org.granitepath.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
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

@Parameters(commandDescription = "runs one controller until it is killed")
final class ServeCommand extends Command.WithSettings {
    @Override
    int run() throws Settings.Invalid, IOException {
        start(settings());
        return OK;
    }

    /** Starts a controller; its threads keep the process alive. */
    static void start(Settings s) throws IOException {
        Logger log = LoggerFactory.getLogger(ServeCommand.class);
        EventLoop loop = new EventLoop();
        HttpCalls http = new HttpCalls(loop);
        Controller controller = new Controller(s.config(), new StateClient(http, s.state()),
                new CloudClient(http, s.cloud()), new WorkerClient(http), new PeerClient(http, s.peerAddresses()), loop);
        ServiceServer.listen(controller, s.config(), loop, s.listen().host(), s.listen().port(), s.peerListen().host(),
                s.peerListen().port());
        loop.run(controller::start);
        log.info("{} serves on {}:{}", s.config().node(), s.listen().host(), s.listen().port());
    }
}
