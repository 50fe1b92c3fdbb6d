package org.granitepath.coordination.fleet;

import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.recovery.KnownPlacement;
import org.granitepath.recovery.ListedTaskState;
import org.granitepath.recovery.RecordedTaskState;
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
        return VerdictTable.forListedAttempt(
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
        return VerdictTable.forMissingAttempt(new StartEvidence(
                placement.agentEpoch() < heartbeat.agentEpoch(),
                underCurrentToken,
                placement.phase() != Placement.Phase.ASSIGNED,
                placement.hasUnacknowledgedStart(heartbeat.fencingToken()),
                placement.hasBeenListed(),
                placement.isSentInResponse(),
                origin == MessageOrigin.HEARTBEAT));
    }

    private RecordedTaskState recordedStateOf(@Nullable ActiveJob job, TaskId task) {
        if (job == null || job.phase() == ActiveJob.Phase.ENDED) {
            return jobIndex.recordedTaskState(task.job());
        }
        if (task.index() >= job.spec().tasks()) {
            return RecordedTaskState.NOT_IN_JOB;
        }
        if (job.phase() == ActiveJob.Phase.COMPLETING) {
            return RecordedTaskState.JOB_DONE;
        }
        if (job.isDone(task.index())) {
            return RecordedTaskState.TASK_DONE;
        }
        return task.index() < job.claimedTasks() ? RecordedTaskState.CLAIMED : RecordedTaskState.UNCLAIMED;
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
    private static ListedTaskState listedStateOf(@Nullable ActiveJob job, TaskStatus status) {
        if (status.state() != TaskState.EXITED) {
            return ListedTaskState.LIVE;
        }
        boolean completes =
                status.cause() == ExitCause.DONE && (job == null || !job.spec().isService());
        return completes ? ListedTaskState.COMPLETED : ListedTaskState.EXITED;
    }
}
