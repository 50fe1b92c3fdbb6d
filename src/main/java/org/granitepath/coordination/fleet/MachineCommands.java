package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * Determines the commands that are due for a machine, and collects them for the response to its heartbeat. Stop
 * commands are repeated until a message of the worker shows that the task has ended; start commands are sent once.
 */
public final class MachineCommands {
    private final Leadership leadership;
    private final MachinesWithCommands machinesWithCommands;

    /** Creates an instance that removes machines from this set when their commands are sent. */
    public MachineCommands(Leadership leadership, MachinesWithCommands machinesWithCommands) {
        this.leadership = leadership;
        this.machinesWithCommands = machinesWithCommands;
    }

    /**
     * Returns the cleanup commands and the stop commands that are due for the machine now. Every response that renews
     * the worker's lease has to carry them, so that no renewal keeps a task running that must end.
     */
    public static List<WorkerCommand> stopAndClearCommands(Machine machine) {
        List<WorkerCommand> stopsAndClears = new ArrayList<>(machine.cleanupCommands());
        for (Placement placement : machine.placements()) {
            if (placement.phase() == Placement.Phase.STOPPING) {
                stopsAndClears.add(WorkerCommand.stop(placement.task(), placement.attempt(), placement.graceMicros()));
            }
        }
        return stopsAndClears;
    }

    /**
     * Returns the placements whose start commands may be sent now; empty when the machine takes no tasks or the leader
     * may not start any.
     */
    List<Placement> startablePlacements(Machine machine) {
        if (!machine.isSchedulable() || !leadership.canStartTasks()) {
            return List.of();
        }
        return machine.placements().stream()
                .filter(placement -> placement.phase() == Placement.Phase.ASSIGNED)
                .toList();
    }

    /**
     * Collects all commands that are due for the machine, for the response to its heartbeat, and marks the start
     * commands among them as sent.
     */
    public List<WorkerCommand> collectForResponse(Machine machine) {
        List<WorkerCommand> due = stopAndClearCommands(machine);
        machinesWithCommands.remove(machine);
        for (Placement placement : startablePlacements(machine)) {
            due.add(WorkerCommand.start(placement.task(), placement.attempt()));
            placement.markSentInResponse();
        }
        return due;
    }
}
