package org.granitepath.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * Opens connections to other processes and keeps a few idle ones per address for reuse. Connections are kept only to
 * addresses from the settings, so the pool never has to remove an address.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 4;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final EventLoop loop;
    private final CancellableConnector connector;
    /** Idle connections by address, the most recently used one first. */
    private final Map<String, ArrayDeque<ClientConnection>> idle = new HashMap<>();

    ConnectionPool(EventLoop loop) {
        this.loop = loop;
        this.connector = new CancellableConnector(loop.thread());
    }

    /**
     * Opens a connection.
     *
     * @param address HOST:PORT
     * @param onOpened takes the open connection or the error
     * @return the connection attempt, with which the caller can cancel it; null if it failed before it started
     */
    @Nullable
    IoFuture<StreamConnection> open(String address, ClientCallback<ClientConnection> onOpened) {
        UndertowClient.getInstance()
                .connect(onOpened, URI.create("http://" + address), connector, loop.buffers(), OPTIONS);
        return connector.latestAttempt();
    }

    /** Removes and returns an idle connection to the address that is still open; null if there is none. */
    @Nullable
    ClientConnection takeIdle(String address) {
        ArrayDeque<ClientConnection> idleConnections = idle.get(address);
        while (idleConnections != null && !idleConnections.isEmpty()) {
            ClientConnection connection = idleConnections.pop();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /** Puts an open connection that carries no request into the pool; closes it if the address has enough idle ones. */
    void keepIdle(String address, ClientConnection connection) {
        ArrayDeque<ClientConnection> idleConnections = idle.computeIfAbsent(address, unused -> new ArrayDeque<>());
        if (connection.isOpen() && idleConnections.size() < MAX_IDLE_PER_ADDRESS) {
            idleConnections.push(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }
}
