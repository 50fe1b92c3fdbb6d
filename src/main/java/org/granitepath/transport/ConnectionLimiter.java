package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits how many inbound connections stay open. One limit applies to machines, another to all clients together. A
 * fleet can have more machines than a controller has sockets. Above a limit, the server therefore closes a connection
 * after the response, so that sockets stay available for new connections.
 */
final class ConnectionLimiter {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimiter.class);

    /** The state of one open connection. */
    private static final class ConnectionState {
        /** Whether the last request on the connection was a heartbeat. */
        private boolean isMachine;
    }

    private static final AttachmentKey<ConnectionState> STATE = AttachmentKey.create(ConnectionState.class);

    private final int maxMachineConnections;
    private final int maxConnections;
    private int machineConnections;
    private int otherConnections;
    /** Whether a limit was exceeded at the last request; only a change is logged. */
    private boolean limitExceeded;

    /**
     * Creates a limiter.
     *
     * @param maxMachineConnections the maximum number of persistent connections of machines
     * @param maxConnections the maximum number of persistent connections of all clients together
     */
    ConnectionLimiter(int maxMachineConnections, int maxConnections) {
        this.maxMachineConnections = maxMachineConnections;
        this.maxConnections = maxConnections;
    }

    /** Returns the number of open connections whose last request was a heartbeat. */
    int machineConnections() {
        return machineConnections;
    }

    /** Returns the number of all other open connections. */
    int otherConnections() {
        return otherConnections;
    }

    /** Counts the connection of the request and has it closed after the response if a limit is exceeded. */
    void onRequest(HttpServerExchange exchange, boolean isMachine) {
        classify(isMachine, stateOf(exchange.getConnection()));
        boolean exceeded = (isMachine && machineConnections > maxMachineConnections)
                || machineConnections + otherConnections > maxConnections;
        if (exceeded) {
            exchange.setPersistent(false);
        }
        logChange(exceeded);
    }

    /** Returns the state of the connection. A connection counts as a user's until it carries a heartbeat. */
    private ConnectionState stateOf(ServerConnection connection) {
        ConnectionState known = connection.getAttachment(STATE);
        if (known != null) {
            return known;
        }
        ConnectionState opened = new ConnectionState();
        connection.putAttachment(STATE, opened);
        count(opened, 1);
        connection.addCloseListener(closed -> count(opened, -1));
        return opened;
    }

    private void classify(boolean isMachine, ConnectionState state) {
        if (isMachine != state.isMachine) {
            count(state, -1);
            state.isMachine = isMachine;
            count(state, 1);
        }
    }

    private void logChange(boolean exceeded) {
        if (exceeded == limitExceeded) {
            return;
        }
        limitExceeded = exceeded;
        LOG.debug(
                "{} machine connections (limit {}), {} other connections (total limit {});"
                        + " above a limit, connections are closed after the response",
                machineConnections,
                maxMachineConnections,
                otherConnections,
                maxConnections);
    }

    private void count(ConnectionState state, int change) {
        if (state.isMachine) {
            machineConnections += change;
        } else {
            otherConnections += change;
        }
    }
}
