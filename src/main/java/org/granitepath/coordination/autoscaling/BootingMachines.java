package org.granitepath.coordination.autoscaling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;

/** The machines that were launched and have sent no heartbeat yet, in the order in which they became known. */
final class BootingMachines {
    private final Map<String, BootingMachine> byId = new LinkedHashMap<>();

    /** All of them. */
    Collection<BootingMachine> all() {
        return byId.values();
    }

    /** How many there are. */
    int size() {
        return byId.size();
    }

    /** Whether this machine is one of them. */
    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Adds a machine unless it is known already. */
    void add(BootingMachine machine) {
        byId.putIfAbsent(machine.id(), machine);
    }

    /** Forgets a machine that was terminated. */
    void remove(String id) {
        byId.remove(id);
    }

    /** Removes those that have joined the fleet, which then knows when they were launched. */
    void removeJoined(Fleet fleet) {
        byId.values().removeIf(booting -> {
            Machine machine = fleet.machine(booting.id());
            if (machine != null) {
                machine.setLaunchedMicros(booting.launchedMicros());
            }
            return machine != null;
        });
    }
}
