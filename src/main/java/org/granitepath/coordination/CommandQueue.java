package org.granitepath.coordination;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The machines for which there are commands that have not gone out yet. */
final class CommandQueue {
    private final Set<Machine> machines = new LinkedHashSet<>();
    private final Runnable requestSend;

    /** @param requestSend asks for the commands to be sent shortly */
    CommandQueue(Runnable requestSend) {
        this.requestSend = requestSend;
    }

    /** There is something to tell this machine. */
    void due(Machine machine) {
        machines.add(machine);
        requestSend.run();
    }

    void remove(Machine machine) {
        machines.remove(machine);
    }

    List<Machine> machines() {
        return List.copyOf(machines);
    }
}
