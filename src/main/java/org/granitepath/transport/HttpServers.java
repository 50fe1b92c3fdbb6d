package org.granitepath.transport;

import org.granitepath.coordination.Controller;
import org.granitepath.coordination.config.PlatformLimits;

/** The two HTTP servers of a controller: the API and the peer interface, which has the metrics of both. */
public final class HttpServers {
    private HttpServers() {}

    /**
     * Starts both servers.
     *
     * @param apiAddress the address for users, workers and health checks
     * @param peerAddress the address for the other controllers and the operators
     */
    public static void listen(
            Controller controller, PlatformLimits limits, EventLoop loop, Address apiAddress, Address peerAddress) {
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(limits.maxPersistentMachineConnections(), limits.maxPersistentConnections());
        Metrics metrics = new Metrics(connectionLimiter, controller::recoveryStatus);
        ApiServer apiServer = new ApiServer(controller, metrics, loop, connectionLimiter);
        PeerServer peerServer = new PeerServer(controller, metrics);
        HttpListener.listen(loop, peerAddress, limits.backlog(), peerServer::route);
        HttpListener.listen(loop, apiAddress, limits.backlog(), apiServer::route);
    }
}
