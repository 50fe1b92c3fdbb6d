package org.granitepath.transport;

import org.granitepath.coordination.Controller;
import org.granitepath.coordination.config.PlatformLimits;

/** The two servers of a controller: the service, and the peer interface, which shows the metrics of both. */
public final class HttpServers {
    private HttpServers() {}

    /**
     * Begins to listen.
     *
     * @param service where users, workers and health checks call
     * @param peerInterface where the other controllers and the operators call
     */
    public static void listen(
            Controller controller, PlatformLimits limits, EventLoop loop, Address service, Address peerInterface) {
        ConnectionLimiter connections =
                new ConnectionLimiter(limits.maxPersistentMachineConnections(), limits.maxPersistentConnections());
        Metrics metrics = new Metrics(connections, controller::recoveryStatus);
        ApiServer apiServer = new ApiServer(controller, metrics, loop, connections);
        PeerServer peerServer = new PeerServer(controller, metrics);
        HttpListener.listen(loop, peerInterface, limits.backlog(), peerServer::route);
        HttpListener.listen(loop, service, limits.backlog(), apiServer::route);
    }
}
