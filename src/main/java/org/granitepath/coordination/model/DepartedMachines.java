package org.granitepath.coordination.model;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat;

/** Machines that left the fleet, each with its last agent epoch: late copies of their heartbeats still arrive. */
final class DepartedMachines {
    /** Two whole fleets of 6,000 machines: many come and go while a late copy of a heartbeat is on its way. */
    static final int MAX_REMEMBERED = 12_000;

    /** The one that left first comes first, so it is the first to be forgotten. */
    private final Map<String, Long> lastAgentEpochs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** The machine left; only a worker of a later agent epoch than this one may join under its name. */
    void add(String machine, long lastAgentEpoch) {
        lastAgentEpochs.put(machine, lastAgentEpoch);
    }

    /** The cloud took the machine back: no worker will ever join under its name. */
    void addPermanently(String machine) {
        lastAgentEpochs.put(machine, Long.MAX_VALUE);
    }

    /** Whether a heartbeat is a late copy from a machine that left. */
    boolean isFromDepartedMachine(Heartbeat heartbeat) {
        return heartbeat.agentEpoch() <= lastAgentEpochs.getOrDefault(heartbeat.machineId(), Long.MIN_VALUE);
    }
}
