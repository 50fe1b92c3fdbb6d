package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections that users and machines hold open. A fleet can have more machines than a controller has sockets, so
 * beyond a bound a connection is closed after its answer, and whoever comes next still finds a socket.
 */
final class ConnectionLimiter {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimiter.class);

    /** What is known of a connection. */
    private static final class Held {
        /** Whether its last request was a heartbeat. */
        private boolean machine;
    }

    private static final AttachmentKey<Held> HELD = AttachmentKey.create(Held.class);

    private final int maxMachines;
    private final int maxInAll;
    private int machines;
    private int others;
    /** As of the last request, so that only a change is logged. */
    private boolean full;

    /** Holds at most so many connections of machines open, and so many in all. */
    ConnectionLimiter(int maxMachines, int maxInAll) {
        this.maxMachines = maxMachines;
        this.maxInAll = maxInAll;
    }

    int machines() {
        return machines;
    }

    int others() {
        return others;
    }

    /** Counts the connection of this request, and lets it close after the answer when too many are held open. */
    void onRequest(HttpServerExchange exchange, boolean machine) {
        markAs(machine, held(exchange.getConnection()));
        boolean over = (machine && machines > maxMachines) || machines + others > maxInAll;
        if (over) {
            exchange.setPersistent(false);
        }
        logChange(over);
    }

    /** What is known of this connection, which counts as one of a user until it has brought a heartbeat. */
    private Held held(ServerConnection connection) {
        Held known = connection.getAttachment(HELD);
        if (known != null) {
            return known;
        }
        Held opened = new Held();
        connection.putAttachment(HELD, opened);
        count(opened, 1);
        connection.addCloseListener(closed -> count(opened, -1));
        return opened;
    }

    private void markAs(boolean machine, Held held) {
        if (machine != held.machine) {
            count(held, -1);
            held.machine = machine;
            count(held, 1);
        }
    }

    private void logChange(boolean over) {
        if (over == full) {
            return;
        }
        full = over;
        LOG.debug(
                "connections of machines {} (kept {}), of others {} (kept in all {})",
                machines,
                maxMachines,
                others,
                maxInAll);
    }

    private void count(Held held, int by) {
        if (held.machine) {
            machines += by;
        } else {
            others += by;
        }
    }
}
