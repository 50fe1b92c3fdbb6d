package org.granitepath.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reserves ports for servers that are started later, in processes of their own. The ports lie below the ephemeral
 * range, from which the system chooses ports for outgoing connections and for servers that ask for port 0: a port of
 * that range that is free now may be in use by the time the server starts.
 */
public final class LoopbackPorts {
    /** The lowest port that may be reserved. */
    static final int FIRST = 20_000;
    /**
     * The first port above those that may be reserved: Linux's ephemeral range begins here, other systems' above it.
     */
    static final int END = 32_768;

    private final Set<Integer> reserved = new LinkedHashSet<>();
    /** Starts at a random port of the range, so that concurrent test runs try different ports. */
    private int next = ThreadLocalRandom.current().nextInt(FIRST, END);

    /** Reserves a port on which nothing listens and which this object has not reserved before. */
    public int reserve() throws IOException {
        for (int i = FIRST; i < END; i++) {
            int port = next;
            next = port + 1 < END ? port + 1 : FIRST;
            if (isFree(port) && reserved.add(port)) {
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
