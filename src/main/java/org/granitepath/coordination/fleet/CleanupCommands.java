package org.granitepath.coordination.fleet;

import java.util.Set;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.jobs.CommandQueue;
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

/** Commands for what a machine lists and nobody needs: stops of orphaned tasks, and the clearing of exited ones. */
public final class CleanupCommands {
    private static final Logger LOG = LoggerFactory.getLogger(CleanupCommands.class);
    /** With more exited attempts than this that may not be cleared yet, a machine gets a new token for their sake. */
    private static final int MOST_UNCLEARED_ATTEMPTS = 24;

    private final JobIndex jobIndex;
    private final RecoveryPlan plan;
    private final MachineInventory inventory;
    private final CommandQueue commands;
    private final SchedulingLoop loop;

    /** Adds commands to what machines are to be told. */
    public CleanupCommands(
            JobIndex jobIndex,
            RecoveryPlan plan,
            MachineInventory inventory,
            CommandQueue commands,
            SchedulingLoop loop) {
        this.jobIndex = jobIndex;
        this.plan = plan;
        this.inventory = inventory;
        this.commands = commands;
        this.loop = loop;
    }

    /**
     * The machine is to end an attempt that belongs to no job, or to no present attempt of one.
     *
     * @param repeated the commands that the message before this one called for
     */
    void stopOrphan(Machine machine, TaskStatus status, Verdict verdict, Set<WorkerCommand> repeated) {
        WorkerCommand stop = WorkerCommand.stop(status.task(), status.attempt(), 0);
        machine.addCleanupCommand(stop);
        commands.enqueue(machine);
        loop.markCycleNeeded();
        if (!repeated.contains(stop)) {
            plan.countVerdicts(verdict, 1);
            LOG.info(
                    "stopping task {} attempt {} on machine {}: {}",
                    status.task(),
                    status.attempt(),
                    machine.id(),
                    verdict);
        }
    }

    /** The machine need not list this attempt any more if it has exited and nothing can start it again. */
    void clearIfExited(Machine machine, TaskStatus status, Verdict verdict) {
        if (status.state() == TaskState.EXITED && verdict != Verdict.UNCONFIRMED && mayClear(machine, status)) {
            machine.addCleanupCommand(WorkerCommand.clear(status.task(), status.attempt()));
        }
    }

    /**
     * Only a durable outcome is cleared away. An attempt that a direct command started stays listed until the token has
     * been raised: a late copy of that command would start it once more.
     */
    private boolean mayClear(Machine machine, TaskStatus status) {
        if (machine.contact().canBeStartedAgain(status.attempt(), machine.fencingToken())) {
            return false;
        }
        machine.contact().forgetDirectStart(status.attempt());
        return isOutcomeDurable(status);
    }

    private boolean isOutcomeDurable(TaskStatus status) {
        if (status.cause() != ExitCause.DONE || jobIndex.openJob(status.task().job()) == null) {
            return true;
        }
        return jobIndex.progressOf(status.task().job())
                .done()
                .contains(status.task().index());
    }

    /**
     * Asks for a new token when many exited attempts can't be cleared without one. What runs is not counted: a machine
     * with more tasks than the bound would want a new token with every heartbeat.
     */
    void requestTokenIfManyUncleared(Machine machine, Heartbeat heartbeat) {
        if (unclearedAttempts(machine, heartbeat) > MOST_UNCLEARED_ATTEMPTS) {
            inventory.requestTokenForCleanup(machine);
        }
    }

    /** Exited attempts that the heartbeat lists and that may not be cleared yet. */
    private static int unclearedAttempts(Machine machine, Heartbeat heartbeat) {
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
