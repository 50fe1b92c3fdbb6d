package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections that users and machines hold open. A fleet can have more machines than a controller has sockets, so
 * beyond a bound a connection is closed after its answer, and whoever comes next still finds a socket.
 */
final class Connections {
    private static final Logger LOG = LoggerFactory.getLogger(Connections.class);

    private static final class Held {
        boolean machine;
    }

    private static final AttachmentKey<Held> HELD = AttachmentKey.create(Held.class);

    private final int mostMachines;
    private final int most;
    private int machines;
    private int others;
    private boolean full;

    Connections(int mostMachines, int most) {
        this.mostMachines = mostMachines;
        this.most = most;
    }

    int machines() {
        return machines;
    }

    int others() {
        return others;
    }

    /** Counts the connection of this request, and lets it close after the answer when too many are held open. */
    void requested(HttpServerExchange exchange, boolean machine) {
        Held held = exchange.getConnection().getAttachment(HELD);
        if (held == null) {
            Held opened = new Held();
            held = opened;
            exchange.getConnection().putAttachment(HELD, opened);
            count(opened, 1);
            exchange.getConnection().addCloseListener(c -> count(opened, -1));
        }
        if (machine != held.machine) {
            count(held, -1);
            held.machine = machine;
            count(held, 1);
        }
        boolean over = (machine && machines > mostMachines) || machines + others > most;
        if (over) {
            exchange.setPersistent(false);
        }
        if (over != full) {
            LOG.debug(
                    "connections of machines {} (kept {}), of others {} (kept in all {})",
                    machines,
                    mostMachines,
                    others,
                    most);
            full = over;
        }
    }

    private void count(Held held, int by) {
        if (held.machine) {
            machines += by;
        } else {
            others += by;
        }
    }
}
