package org.granitepath.coordination.jobs;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.granitepath.coordination.model.Machine;

/** The machines for which there are commands that have not gone out yet. */
public final class CommandQueue {
    private final Set<Machine> machines = new LinkedHashSet<>();
    private final Runnable requestSend;

    /** @param requestSend asks for the commands to be sent shortly */
    public CommandQueue(Runnable requestSend) {
        this.requestSend = requestSend;
    }

    /** There is something to tell this machine. */
    public void enqueue(Machine machine) {
        machines.add(machine);
        requestSend.run();
    }

    /** What is due there has gone out, or the machine is gone. */
    public void remove(Machine machine) {
        machines.remove(machine);
    }

    /** The machines for which commands are due, in the order in which they came. */
    public List<Machine> machines() {
        return List.copyOf(machines);
    }
}
