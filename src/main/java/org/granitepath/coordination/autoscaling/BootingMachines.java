package org.granitepath.coordination.autoscaling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;

/** The machines that were launched and have not sent a heartbeat yet, in the order in which they were added. */
final class BootingMachines {
    private final Map<String, BootingMachine> byId = new LinkedHashMap<>();

    /** Returns a view of all booting machines. */
    Collection<BootingMachine> all() {
        return byId.values();
    }

    /** Returns the number of booting machines. */
    int size() {
        return byId.size();
    }

    /** Returns whether the machine with this name is booting. */
    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Adds a machine, unless a machine of the same name is present; that one then stays unchanged. */
    void add(BootingMachine machine) {
        byId.putIfAbsent(machine.id(), machine);
    }

    /** Removes a machine that was terminated; does nothing if it is not present. */
    void remove(String id) {
        byId.remove(id);
    }

    /** Removes the machines that have joined the fleet, and sets their launch times there. */
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
