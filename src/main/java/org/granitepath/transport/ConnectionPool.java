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
 * Opens connections to other programs and keeps some that are idle for later calls to the same address. ConnectionLimiter are
 * kept only to addresses of the settings, so addresses are never forgotten.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 4;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final EventLoop loop;
    private final CancellableConnector connector;
    /** By address; the one that was used last is first. */
    private final Map<String, ArrayDeque<ClientConnection>> idle = new HashMap<>();

    ConnectionPool(EventLoop loop) {
        this.loop = loop;
        this.connector = new CancellableConnector(loop.thread());
    }

    /**
     * Opens a connection to this address.
     *
     * @return the attempt, by which the caller may give it up; null when it failed before it began
     */
    @Nullable
    IoFuture<StreamConnection> open(String address, ClientCallback<ClientConnection> opened) {
        UndertowClient.getInstance()
                .connect(opened, URI.create("http://" + address), connector, loop.buffers(), OPTIONS);
        return connector.latestAttempt();
    }

    /** A connection to this address that was kept and is still open; null: there is none. */
    @Nullable
    ClientConnection takeIdle(String address) {
        ArrayDeque<ClientConnection> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            ClientConnection connection = kept.pop();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /** Keeps a connection that carries no request any more, or closes it when enough are kept. */
    void keepIdle(String address, ClientConnection connection) {
        ArrayDeque<ClientConnection> kept = idle.computeIfAbsent(address, unused -> new ArrayDeque<>());
        if (connection.isOpen() && kept.size() < MAX_IDLE_PER_ADDRESS) {
            kept.push(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }
}
