package org.granitepath.coordination.model;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat;

/**
 * The machines that left the fleet, each with its last agent epoch. Delayed copies of their heartbeats may still arrive
 * and must not make them join again.
 */
final class DepartedMachines {
    /**
     * Two full fleets of 6,000 machines, because many machines come and go while a delayed copy of a heartbeat is in
     * transit.
     */
    static final int MAX_REMEMBERED = 12_000;

    /** In the order of departure, so the machine that left first is evicted first. */
    private final Map<String, Long> lastAgentEpochs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** Adds a machine. Only a worker with a later agent epoch than the given one may join under its name. */
    void add(String machine, long lastAgentEpoch) {
        lastAgentEpochs.put(machine, lastAgentEpoch);
    }

    /** Adds a machine that the cloud has terminated. No worker may join under its name any more. */
    void addPermanently(String machine) {
        lastAgentEpochs.put(machine, Long.MAX_VALUE);
    }

    /** Returns whether the heartbeat is a delayed copy from a machine that left the fleet. */
    boolean isFromDepartedMachine(Heartbeat heartbeat) {
        return heartbeat.agentEpoch() <= lastAgentEpochs.getOrDefault(heartbeat.machineId(), Long.MIN_VALUE);
    }
}
