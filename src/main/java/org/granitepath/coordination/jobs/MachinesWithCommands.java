package org.granitepath.coordination.jobs;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.granitepath.coordination.model.Machine;

/** The machines that have commands to be sent. */
public final class MachinesWithCommands {
    private final Set<Machine> machines = new LinkedHashSet<>();
    private final Runnable requestSend;

    /**
     * Creates an instance that holds no machines yet.
     *
     * @param requestSend asks for the commands to be sent shortly
     */
    public MachinesWithCommands(Runnable requestSend) {
        this.requestSend = requestSend;
    }

    /** Adds a machine that has a command to be sent, and asks for the commands to be sent. */
    public void enqueue(Machine machine) {
        machines.add(machine);
        requestSend.run();
    }

    /** Removes a machine whose commands were sent, or that is gone. */
    public void remove(Machine machine) {
        machines.remove(machine);
    }

    /** Returns a copy of the list of machines that have commands to be sent, in the order in which they were added. */
    public List<Machine> machines() {
        return List.copyOf(machines);
    }
}
