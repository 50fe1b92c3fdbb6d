package org.granitepath.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Machines that lately sent heartbeats to this controller although another owns them. Many of them tell the leader
 * that it is the one that the machines don't reach.
 */
final class RedirectedMachines {
    private static final long MEMORY_MICROS = 5_000_000;

    private final Map<String, Long> lastHeartbeatMicros = new LinkedHashMap<>();

    /** A machine sent a heartbeat here and was turned away. */
    void add(String machine, long nowMicros) {
        lastHeartbeatMicros.put(machine, nowMicros);
    }

    /** Forgets the machines that have sent none for some seconds. */
    void forgetOld(long nowMicros) {
        lastHeartbeatMicros.values().removeIf(heartbeatMicros -> heartbeatMicros < nowMicros - MEMORY_MICROS);
    }

    int count() {
        return lastHeartbeatMicros.size();
    }
}
