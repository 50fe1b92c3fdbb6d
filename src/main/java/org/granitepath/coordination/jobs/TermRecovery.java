package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.recovery.LiveWorkBacklog;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.Timers;

/** Carries the recovery plan of one term out on the fleet and the jobs. */
public final class TermRecovery {
    private final RecoveryPlan plan;
    private final ActiveJobs jobs;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Carries this plan out on these jobs. */
    public TermRecovery(RecoveryPlan plan, ActiveJobs jobs, Timers timers, SchedulingLoop loop) {
        this.plan = plan;
        this.jobs = jobs;
        this.timers = timers;
        this.loop = loop;
    }

    /** The plan, which knows phase and verdicts. */
    public RecoveryPlan plan() {
        return plan;
    }

    /** Begins with the machines and the records as of this revision. */
    public void start(List<Machine> takenOver, int unreadableParts, long revision) {
        takenOver.forEach(machine -> plan.takeOverMachine(machine.id(), machine.profile()));
        plan.takeOverUnreadableParts(unreadableParts);
        plan.onRecordsRead(revision, timers.nowMicros());
    }

    /** Whether every machine taken over has sent a heartbeat under the present fencing token or is proved gone. */
    public boolean hasResolvedAllMachines() {
        return plan.isEveryMachineResolved();
    }

    /** Whether a task of this job may be on a machine that is still awaited. */
    boolean canRunOnAwaitedMachine(ActiveJob job) {
        return plan.verdictOnUnlistedTask(job.spec()) == Verdict.UNCONFIRMED;
    }

    /** A heartbeat under the present fencing token has come, or the machine is gone: what was left there is known. */
    public void resolve(Machine machine, String proof) {
        if (!machine.isAwaitingFirstHeartbeat()) {
            return;
        }
        machine.resolveTakeover();
        if (plan.resolveMachine(machine.id(), machine.profile(), proof)) {
            jobs.all().forEach(this::resolveTasks);
            loop.requestCycle();
        }
    }

    /** Frees the tasks of a job that no heartbeat has listed, if no machine is left that may hold them. */
    void resolveTasks(ActiveJob job) {
        if (job.unconfirmedTasks() > 0 && !canRunOnAwaitedMachine(job)) {
            plan.countVerdicts(Verdict.LOST, job.unconfirmedTasks());
            job.resolveUnconfirmed();
        }
    }

    /** Whether tasks of the job may start, as far as the recovery is concerned. */
    public boolean canStart(ActiveJob job) {
        return plan.canStart(job.spec());
    }

    /** A scheduling cycle is about to begin: a hold whose time is over ends. */
    public void onCycleStart(long nowMicros) {
        plan.endHoldIfDue(nowMicros);
    }

    /**
     * A scheduling cycle has ended.
     *
     * @param tasksAwaitingPreemption how many tasks of live work have no capacity yet, while others are being preempted
     *     for them
     */
    public void onCycleEnd(int tasksAwaitingPreemption) {
        if (!plan.isBatchWorkHeld()) {
            return;
        }
        plan.onCycleEnded(liveWorkBacklog(tasksAwaitingPreemption));
        if (!plan.isBatchWorkHeld()) {
            loop.requestCycle();
        }
    }

    /**
     * Whether capacity that is free may be wanted shortly by live work: machines that look idle are kept until it is
     * known what of that work is lost.
     */
    public boolean isKeepingIdleMachines() {
        return plan.isBatchWorkHeld()
                || (!plan.isEveryMachineResolved() && liveWorkBacklog(0).unconfirmedTasks() > 0);
    }

    /** How many claimed tasks may be on machines still awaited. */
    public int unconfirmedTasks() {
        return jobs.all().stream().mapToInt(job -> job.unconfirmedTasks()).sum();
    }

    private LiveWorkBacklog liveWorkBacklog(int tasksAwaitingPreemption) {
        int unconfirmedTasks = 0;
        int jobsAwaitingClaim = 0;
        int unacknowledgedTasks = 0;
        for (ActiveJob job : jobs.all()) {
            if (!job.isOpen() || !LiveWorkBacklog.isLiveWork(job.spec())) {
                continue;
            }
            unconfirmedTasks += job.unconfirmedTasks();
            jobsAwaitingClaim += job.waitingTasks() > 0 && !job.hasStartableTask() ? 1 : 0;
            for (Placement placement : job.placements()) {
                unacknowledgedTasks += placement.hasBeenListed() ? 0 : 1;
            }
        }
        return new LiveWorkBacklog(unconfirmedTasks, jobsAwaitingClaim, unacknowledgedTasks, tasksAwaitingPreemption);
    }
}
