package org.granitepath.coordination.fleet;

import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskReport;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.recovery.KnownPlacement;
import org.granitepath.recovery.RecordedTask;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.ReportedTask;
import org.granitepath.recovery.StartEvidence;
import org.granitepath.recovery.Verdict;
import org.granitepath.recovery.VerdictTable;

/** Gathers what records, placements and reports say of a task, and asks the verdict table. */
final class TaskEvidence {
    private final JobIndex jobIndex;
    private final ActiveJobs activeJobs;
    private final RecoveryPlan plan;

    TaskEvidence(JobIndex jobIndex, ActiveJobs activeJobs, RecoveryPlan plan) {
        this.jobIndex = jobIndex;
        this.activeJobs = activeJobs;
        this.plan = plan;
    }

    /** The verdict on an attempt that the machine's report lists. */
    Verdict ofReported(Machine machine, TaskReport report) {
        plan.compared(1);
        ActiveJob job = activeJobs.get(report.task().job());
        return VerdictTable.ofReported(
                recorded(job, report.task()), placement(job, machine, report), reported(job, report));
    }

    /** The verdict on a placement that the machine's report does not list. */
    Verdict ofMissing(Placement placement, Heartbeat heartbeat, boolean current, boolean isReport) {
        plan.compared(1);
        return VerdictTable.ofMissing(new StartEvidence(
                placement.session() < heartbeat.session(),
                current,
                placement.phase() != Placement.Phase.ASSIGNED,
                placement.mayStillBeStarted(heartbeat.fencingToken()),
                placement.seen(),
                placement.wentOutInAnswer(),
                isReport));
    }

    private RecordedTask recorded(ActiveJob job, TaskId task) {
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

    private static KnownPlacement placement(ActiveJob job, Machine machine, TaskReport report) {
        Placement here = machine.placement(report.task());
        if (here != null) {
            return here.attempt() == report.attempt() ? KnownPlacement.THIS_ATTEMPT : KnownPlacement.OTHER_ATTEMPT_HERE;
        }
        return job != null && job.placement(report.task().index()) != null
                ? KnownPlacement.OTHER_MACHINE
                : KnownPlacement.NONE;
    }

    /** A service's task never completes its job, however it exits. */
    private static ReportedTask reported(ActiveJob job, TaskReport report) {
        if (report.state() != TaskState.EXITED) {
            return ReportedTask.LIVE;
        }
        boolean completes =
                report.cause() == Cause.DONE && (job == null || !job.spec().service());
        return completes ? ReportedTask.COMPLETED : ReportedTask.EXITED;
    }
}
