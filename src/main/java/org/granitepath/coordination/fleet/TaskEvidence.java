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

/** Gathers what records, placements and heartbeats say of a task, and asks the verdict table. */
final class TaskEvidence {
    private final JobIndex jobIndex;
    private final ActiveJobs activeJobs;
    private final RecoveryPlan plan;

    /** Judges by the records and the placements of this term, and counts the comparisons in the plan. */
    TaskEvidence(JobIndex jobIndex, ActiveJobs activeJobs, RecoveryPlan plan) {
        this.jobIndex = jobIndex;
        this.activeJobs = activeJobs;
        this.plan = plan;
    }

    /** The verdict on an attempt that the machine's message lists. */
    Verdict ofListed(Machine machine, TaskStatus status) {
        plan.countComparisons(1);
        ActiveJob job = activeJobs.get(status.task().job());
        return VerdictTable.forListedAttempt(
                recordedTask(job, status.task()), knownPlacement(job, machine, status), listedTask(job, status));
    }

    /** The verdict on a placement that the machine's message does not list. */
    Verdict ofMissing(Placement placement, Heartbeat heartbeat, MessageOrigin origin, boolean underPresentToken) {
        plan.countComparisons(1);
        return VerdictTable.forMissingAttempt(new StartEvidence(
                placement.agentEpoch() < heartbeat.agentEpoch(),
                underPresentToken,
                placement.phase() != Placement.Phase.ASSIGNED,
                placement.hasUnacknowledgedStart(heartbeat.fencingToken()),
                placement.hasBeenListed(),
                placement.isSentInResponse(),
                origin == MessageOrigin.HEARTBEAT));
    }

    private RecordedTaskState recordedTask(@Nullable ActiveJob job, TaskId task) {
        if (job == null || job.phase() == ActiveJob.Phase.ENDED) {
            return jobIndex.recorded(task.job());
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

    private static KnownPlacement knownPlacement(@Nullable ActiveJob job, Machine machine, TaskStatus status) {
        Placement here = machine.placement(status.task());
        if (here != null) {
            return here.attempt() == status.attempt() ? KnownPlacement.THIS_ATTEMPT : KnownPlacement.OTHER_ATTEMPT_HERE;
        }
        return job != null && job.placement(status.task().index()) != null
                ? KnownPlacement.OTHER_MACHINE
                : KnownPlacement.NONE;
    }

    /** A service's task never completes its job, however it exits. */
    private static ListedTaskState listedTask(@Nullable ActiveJob job, TaskStatus status) {
        if (status.state() != TaskState.EXITED) {
            return ListedTaskState.LIVE;
        }
        boolean completes =
                status.cause() == ExitCause.DONE && (job == null || !job.spec().service());
        return completes ? ListedTaskState.COMPLETED : ListedTaskState.EXITED;
    }
}
