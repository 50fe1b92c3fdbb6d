package org.granitepath.coordination.fleet;

import java.util.Set;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the commands that clean up a machine: stop commands for orphaned attempts, which belong to no job or were
 * replaced, and clear commands for exited attempts, which remove them from the worker's heartbeats.
 */
public final class CleanupCommands {
    private static final Logger LOG = LoggerFactory.getLogger(CleanupCommands.class);
    /**
     * The number of exited attempts that a machine may list before they can be cleared. Beyond it, the machine gets a
     * new fencing token so that they can be.
     */
    private static final int MAX_UNCLEARED_ATTEMPTS = 24;

    private final JobIndex jobIndex;
    private final RecoveryPlan plan;
    private final MachineInventory inventory;
    private final MachinesWithCommands machinesWithCommands;
    private final SchedulingLoop loop;

    /** Creates an instance that queues cleanup commands for machines and requests new fencing tokens for cleanup. */
    public CleanupCommands(
            JobIndex jobIndex,
            RecoveryPlan plan,
            MachineInventory inventory,
            MachinesWithCommands machinesWithCommands,
            SchedulingLoop loop) {
        this.jobIndex = jobIndex;
        this.plan = plan;
        this.inventory = inventory;
        this.machinesWithCommands = machinesWithCommands;
        this.loop = loop;
    }

    /**
     * Queues a stop command for an attempt that belongs to no job, or that is not the current attempt of its task.
     *
     * @param verdict why the attempt is stopped; counted and logged once, not for repeated commands
     * @param previousCommands the cleanup commands that resulted from the worker's previous message
     */
    void stopOrphan(Machine machine, TaskStatus status, Verdict verdict, Set<WorkerCommand> previousCommands) {
        WorkerCommand stop = WorkerCommand.stop(status.task(), status.attempt(), 0);
        machine.addCleanupCommand(stop);
        machinesWithCommands.enqueue(machine);
        loop.markCycleNeeded();
        if (!previousCommands.contains(stop)) {
            plan.countVerdicts(verdict, 1);
            LOG.info(
                    "stopping task {} attempt {} on machine {}: {}",
                    status.task(),
                    status.attempt(),
                    machine.id(),
                    verdict);
        }
    }

    /**
     * Queues a clear command for the attempt if it has exited and no command can start it again, so that the worker
     * stops listing it. Attempts with the verdict {@code UNCONFIRMED} are kept.
     */
    void clearIfExited(Machine machine, TaskStatus status, Verdict verdict) {
        if (status.state() == TaskState.EXITED && verdict != Verdict.UNCONFIRMED && canClear(machine, status)) {
            machine.addCleanupCommand(WorkerCommand.clear(status.task(), status.attempt()));
        }
    }

    /**
     * Returns whether the worker may forget this exited attempt. Its outcome must be durable. An attempt that a direct
     * command started must also stay listed until the fencing token has been raised, because a delayed copy of that
     * command would start the attempt again once the worker has forgotten it. Once no command can start the attempt any
     * more, this method also drops the record of its direct start.
     */
    private boolean canClear(Machine machine, TaskStatus status) {
        if (machine.contact().canBeStartedAgain(status.attempt(), machine.fencingToken())) {
            return false;
        }
        machine.contact().forgetDirectStart(status.attempt());
        return isOutcomeDurable(status);
    }

    /**
     * Returns whether the store holds the outcome of the attempt. Only a completed task of an open job has an outcome
     * that has to be stored.
     */
    private boolean isOutcomeDurable(TaskStatus status) {
        if (status.cause() != ExitCause.DONE || jobIndex.openJob(status.task().job()) == null) {
            return true;
        }
        return jobIndex.progressOf(status.task().job())
                .doneTasks()
                .contains(status.task().index());
    }

    /**
     * Requests a new fencing token when more than {@link #MAX_UNCLEARED_ATTEMPTS} exited attempts can't be cleared
     * without one. Running tasks are not counted, because a machine that runs more tasks than the limit would request
     * a new token with every heartbeat.
     */
    void requestTokenIfManyUncleared(Machine machine, Heartbeat heartbeat) {
        if (countUnclearedAttempts(machine, heartbeat) > MAX_UNCLEARED_ATTEMPTS) {
            inventory.requestTokenForCleanup(machine);
        }
    }

    /** Returns the number of exited attempts that the heartbeat lists and that may not be cleared yet. */
    private static int countUnclearedAttempts(Machine machine, Heartbeat heartbeat) {
        int uncleared = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            uncleared += status.state() == TaskState.EXITED ? 1 : 0;
        }
        for (WorkerCommand command : machine.cleanupCommands()) {
            uncleared -= command.verb() == WorkerCommand.Verb.CLEAR ? 1 : 0;
        }
        return uncleared;
    }
}
