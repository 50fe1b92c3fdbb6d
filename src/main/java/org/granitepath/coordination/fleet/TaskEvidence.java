package org.granitepath.coordination.fleet;

import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.recovery.KnownPlacement;
import org.granitepath.recovery.ListedTask;
import org.granitepath.recovery.RecordedTask;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.StartEvidence;
import org.granitepath.recovery.Verdict;
import org.granitepath.recovery.VerdictTable;
import org.jspecify.annotations.Nullable;

/**
 * Collects what the stored records, the placements of this term and the messages of workers say about a task, and looks
 * up the resulting verdict in the {@link VerdictTable}.
 */
final class TaskEvidence {
    private final JobIndex jobIndex;
    private final ActiveJobs activeJobs;
    private final RecoveryPlan plan;

    /** Creates an instance that uses the records and placements of this term and counts comparisons in the plan. */
    TaskEvidence(JobIndex jobIndex, ActiveJobs activeJobs, RecoveryPlan plan) {
        this.jobIndex = jobIndex;
        this.activeJobs = activeJobs;
        this.plan = plan;
    }

    /** Returns the verdict on an attempt that the machine's message lists. */
    Verdict verdictOnListed(Machine machine, TaskStatus status) {
        plan.countComparisons(1);
        ActiveJob job = activeJobs.get(status.task().job());
        return VerdictTable.ofListed(
                recordedStateOf(job, status.task()), placementOf(job, machine, status), listedStateOf(job, status));
    }

    /**
     * Returns the verdict on a placement that the machine's message does not list.
     *
     * @param underCurrentToken whether the message carries the current fencing token of the machine
     */
    Verdict verdictOnMissing(
            Placement placement, Heartbeat heartbeat, MessageOrigin origin, boolean underCurrentToken) {
        plan.countComparisons(1);
        return VerdictTable.ofMissing(new StartEvidence(
                placement.agentEpoch() < heartbeat.agentEpoch(),
                underCurrentToken,
                placement.phase() != Placement.Phase.ASSIGNED,
                placement.mayStillBeStarted(heartbeat.fencingToken()),
                placement.seen(),
                placement.wentOutInAnswer(),
                origin == MessageOrigin.HEARTBEAT));
    }

    private RecordedTask recordedStateOf(@Nullable ActiveJob job, TaskId task) {
        if (job == null || job.phase() == ActiveJob.Phase.OVER) {
            return jobIndex.recorded(task.job());
        }
        if (task.index() >= job.spec().tasks()) {
            return RecordedTask.NOT_IN_JOB;
        }
        if (job.phase() == ActiveJob.Phase.ENDING) {
            return RecordedTask.JOB_DONE;
        }
        if (job.isDone(task.index())) {
            return RecordedTask.TASK_DONE;
        }
        return task.index() < job.claimed() ? RecordedTask.CLAIMED : RecordedTask.UNCLAIMED;
    }

    private static KnownPlacement placementOf(@Nullable ActiveJob job, Machine machine, TaskStatus status) {
        Placement here = machine.placement(status.task());
        if (here != null) {
            return here.attempt() == status.attempt() ? KnownPlacement.THIS_ATTEMPT : KnownPlacement.OTHER_ATTEMPT_HERE;
        }
        return job != null && job.placement(status.task().index()) != null
                ? KnownPlacement.OTHER_MACHINE
                : KnownPlacement.NONE;
    }

    /** Returns the listed state of the task; a task of a service never counts as completed, however it exits. */
    private static ListedTask listedStateOf(@Nullable ActiveJob job, TaskStatus status) {
        if (status.state() != TaskState.EXITED) {
            return ListedTask.LIVE;
        }
        boolean completes =
                status.cause() == Cause.DONE && (job == null || !job.spec().service());
        return completes ? ListedTask.COMPLETED : ListedTask.EXITED;
    }
}
