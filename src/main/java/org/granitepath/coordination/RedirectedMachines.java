package org.granitepath.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The machines that recently sent a heartbeat to this controller although it is not the leader. Each controller reports
 * their number to its peers; a large number tells the leader that the machines cannot reach it.
 */
final class RedirectedMachines {
    private static final long RETENTION_MICROS = 5_000_000;

    private final Map<String, Long> lastHeartbeatMicros = new LinkedHashMap<>();

    /** Records that this controller did not accept a heartbeat of the machine. */
    void add(String machine, long nowMicros) {
        lastHeartbeatMicros.put(machine, nowMicros);
    }

    /** Removes the machines whose last heartbeat here is older than {@link #RETENTION_MICROS}. */
    void removeExpired(long nowMicros) {
        lastHeartbeatMicros.values().removeIf(heartbeatMicros -> heartbeatMicros < nowMicros - RETENTION_MICROS);
    }

    /** Returns the number of machines recorded and not yet removed. */
    int count() {
        return lastHeartbeatMicros.size();
    }
}
