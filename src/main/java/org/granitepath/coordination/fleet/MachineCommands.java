package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * What a machine is to be told as of now, and what of it the answer to its heartbeat carries. Stops are repeated until
 * they are seen to work; starts go out once.
 */
public final class MachineCommands {
    private final Leadership leadership;
    private final CommandQueue commands;

    /** Takes machines whose commands have gone out from this queue. */
    public MachineCommands(Leadership leadership, CommandQueue commands) {
        this.leadership = leadership;
        this.commands = commands;
    }

    /** What is to end there, as of now. Every answer that renews a lease holds it: no task outlives its end by that. */
    public static List<WorkerCommand> stopAndClearCommands(Machine machine) {
        List<WorkerCommand> stops = new ArrayList<>(machine.cleanupCommands());
        for (Placement placement : machine.placements()) {
            if (placement.phase() == Placement.Phase.STOPPING) {
                stops.add(WorkerCommand.stop(placement.task(), placement.attempt(), placement.graceMicros()));
            }
        }
        return stops;
    }

    /** The placements whose starts may go out now. */
    List<Placement> startable(Machine machine) {
        if (!machine.isSchedulable() || !leadership.canStartTasks()) {
            return List.of();
        }
        return machine.placements().stream()
                .filter(placement -> placement.phase() == Placement.Phase.ASSIGNED)
                .toList();
    }

    /** All that this machine is to do, for the answer to its heartbeat. */
    public List<WorkerCommand> collectForResponse(Machine machine) {
        List<WorkerCommand> answer = stopAndClearCommands(machine);
        commands.remove(machine);
        for (Placement placement : startable(machine)) {
            answer.add(WorkerCommand.start(placement.task(), placement.attempt()));
            placement.markSentInResponse();
        }
        return answer;
    }
}
