package org.granitepath.coordination.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.Verdict;

/**
 * Compares the tasks that a worker's message lists with those placed on its machine, and carries the verdicts out. A
 * task is taken for gone only when a message proves it; what is listed and was not placed by this leader is adopted or
 * stopped.
 */
public final class TaskReconciler {
    private final ActiveJobs activeJobs;
    private final TaskLifecycle tasks;
    private final MachineInventory inventory;
    private final RecoveryPlan plan;
    private final TaskEvidence evidence;
    private final TaskStatusUpdater statusUpdater;
    private final CleanupCommands cleanup;

    /** Compares the messages of workers with the jobs and placements of this term. */
    public TaskReconciler(
            JobIndex jobIndex,
            ActiveJobs activeJobs,
            TaskLifecycle tasks,
            MachineInventory inventory,
            RecoveryPlan plan,
            TaskStatusUpdater statusUpdater,
            CleanupCommands cleanup) {
        this.activeJobs = activeJobs;
        this.tasks = tasks;
        this.inventory = inventory;
        this.plan = plan;
        this.evidence = new TaskEvidence(jobIndex, activeJobs, plan);
        this.statusUpdater = statusUpdater;
        this.cleanup = cleanup;
    }

    /**
     * Brings the placements of the machine in line with this message, which is its latest one.
     *
     * @param underPresentToken whether the worker made it under the present fencing token
     */
    void reconcile(
            Machine machine, Heartbeat heartbeat, MessageOrigin origin, boolean underPresentToken, long nowMicros) {
        Set<TaskId> matched = reconcileListed(machine, heartbeat, underPresentToken, nowMicros);
        freeMissing(machine, heartbeat, origin, underPresentToken, matched);
        cleanup.requestTokenIfManyUncleared(machine, heartbeat);
    }

    /** Goes through what the message lists, and returns the tasks of it that are placed here from now on. */
    private Set<TaskId> reconcileListed(
            Machine machine, Heartbeat heartbeat, boolean underPresentToken, long nowMicros) {
        Set<WorkerCommand> repeated = Set.copyOf(machine.cleanupCommands());
        machine.clearFindings();
        Set<TaskId> matched = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            Verdict verdict = evidence.ofListed(machine, status);
            switch (verdict) {
                case CONFIRMED -> confirmed(machine, status, underPresentToken, nowMicros);
                case ADOPTED -> adopted(machine, status, underPresentToken, nowMicros);
                case FINISHED_MEANWHILE -> finishedMeanwhile(status.task());
                case STALE, UNKNOWN_JOB -> cleanup.stopOrphan(machine, status, verdict, repeated);
                case UNCONFIRMED -> machine.addUnconfirmedTask();
                case EXITED, LOST -> {}
            }
            if (verdict == Verdict.CONFIRMED || verdict == Verdict.ADOPTED) {
                matched.add(status.task());
            }
            cleanup.clearIfExited(machine, status, verdict);
        }
        return matched;
    }

    private void confirmed(Machine machine, TaskStatus status, boolean underPresentToken, long nowMicros) {
        Placement placement =
                Objects.requireNonNull(machine.placement(status.task()), "a confirmed task is placed on its machine");
        if (!placement.hasBeenListed()) {
            plan.countVerdicts(Verdict.CONFIRMED, 1);
        }
        placement.markListed(underPresentToken);
        statusUpdater.update(machine, placement, status, nowMicros);
    }

    private void adopted(Machine machine, TaskStatus status, boolean underPresentToken, long nowMicros) {
        Placement placement = tasks.adopt(activeJob(status.task()), machine, status, underPresentToken, nowMicros);
        plan.countVerdicts(Verdict.ADOPTED, 1);
        statusUpdater.update(machine, placement, status, nowMicros);
    }

    private void finishedMeanwhile(TaskId task) {
        plan.countVerdicts(Verdict.FINISHED_MEANWHILE, 1);
        statusUpdater.completedElsewhere(activeJob(task), task.index());
    }

    private ActiveJob activeJob(TaskId task) {
        return Objects.requireNonNull(activeJobs.get(task.job()), "only a task of an active job is adopted or done");
    }

    private void freeMissing(
            Machine machine,
            Heartbeat heartbeat,
            MessageOrigin origin,
            boolean underPresentToken,
            Set<TaskId> matched) {
        for (Placement placement : List.copyOf(machine.placements())) {
            if (!matched.contains(placement.task())
                    && evidence.ofMissing(placement, heartbeat, origin, underPresentToken) == Verdict.LOST) {
                freeLost(machine, placement, heartbeat);
            }
        }
    }

    private void freeLost(Machine machine, Placement placement, Heartbeat heartbeat) {
        if (startWasLostInAnswer(placement, heartbeat)) {
            inventory.requestToken(machine, "an answer to it was lost");
        }
        plan.countVerdicts(Verdict.LOST, 1);
        tasks.free(
                placement,
                "not in heartbeat " + heartbeat.agentEpoch() + "." + heartbeat.sequence() + " under fencing token "
                        + heartbeat.fencingToken());
    }

    /** The worker is the one that was answered, and never showed what the answer told it to start. */
    private static boolean startWasLostInAnswer(Placement placement, Heartbeat heartbeat) {
        return !placement.hasBeenListed()
                && placement.isSentInResponse()
                && placement.agentEpoch() == heartbeat.agentEpoch();
    }
}
