package org.granitepath.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for servers that are started later, in processes of their own. They lie below the range from which systems
 * choose ports for outgoing connections and for servers on port 0: a port of that range that is free now may be in use
 * by the time the server starts.
 */
public final class LoopbackPorts {
    /** The first port that is handed out. */
    static final int FIRST = 20_000;
    /** The first port that is not handed out: Linux's range begins here, those of other systems above it. */
    static final int END = 32_768;

    private final Set<Integer> handedOut = new LinkedHashSet<>();
    /** Somewhere in the range, so that test runs beside this one look elsewhere. */
    private int next = ThreadLocalRandom.current().nextInt(FIRST, END);

    /** A port on which nothing listens, and which was not handed out before. */
    public int reserve() throws IOException {
        for (int i = FIRST; i < END; i++) {
            int port = next;
            next = port + 1 < END ? port + 1 : FIRST;
            if (isFree(port) && handedOut.add(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + (END - 1));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
