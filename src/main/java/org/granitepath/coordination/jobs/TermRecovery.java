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

/** Applies the recovery plan of one leadership term to the fleet and the jobs. */
public final class TermRecovery {
    private final RecoveryPlan plan;
    private final ActiveJobs jobs;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Creates the recovery that applies the plan to the given jobs. */
    public TermRecovery(RecoveryPlan plan, ActiveJobs jobs, Timers timers, SchedulingLoop loop) {
        this.plan = plan;
        this.jobs = jobs;
        this.timers = timers;
        this.loop = loop;
    }

    /** Returns the plan, which holds the phase and the verdicts. */
    public RecoveryPlan plan() {
        return plan;
    }

    /**
     * Starts with the machines that were taken over and the records as of the given revision.
     *
     * @param unreadableParts the number of inventory parts that cannot be read
     */
    public void start(List<Machine> takenOver, int unreadableParts, long revision) {
        takenOver.forEach(machine -> plan.takeOverMachine(machine.id(), machine.profile()));
        plan.takeOverUnreadableParts(unreadableParts);
        plan.onRecordsRead(revision, timers.nowMicros());
    }

    /**
     * Returns whether every machine that was taken over has sent a heartbeat under its current fencing token or is
     * proven to be gone.
     */
    public boolean hasResolvedAllMachines() {
        return plan.isEveryMachineResolved();
    }

    /** Returns whether a task of the job may be on a machine whose first heartbeat is awaited. */
    boolean canRunOnAwaitedMachine(ActiveJob job) {
        return plan.verdictOnUnlistedTask(job.spec()) == Verdict.UNCONFIRMED;
    }

    /**
     * Resolves a machine that was taken over, so that its tasks are known: it has sent a heartbeat under its current
     * fencing token, or it is gone. Does nothing if the machine is not awaited.
     *
     * @param proof how this is known
     */
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

    /** Frees the unconfirmed tasks of a job if no awaited machine may hold them. */
    void resolveTasks(ActiveJob job) {
        if (job.unconfirmedTasks() > 0 && !canRunOnAwaitedMachine(job)) {
            plan.countVerdicts(Verdict.LOST, job.unconfirmedTasks());
            job.resolveUnconfirmed();
        }
    }

    /** Returns whether the recovery lets tasks of the job start. */
    public boolean canStart(ActiveJob job) {
        return plan.canStart(job.spec());
    }

    /** Ends the hold on batch work if its time is over. Called before each scheduling cycle. */
    public void onCycleStart(long nowMicros) {
        plan.endHoldIfDue(nowMicros);
    }

    /**
     * Updates the recovery after a scheduling cycle.
     *
     * @param tasksAwaitingPreemption the number of live tasks without capacity for which others are being preempted
     */
    public void onCycleEnded(int tasksAwaitingPreemption) {
        if (!plan.isBatchWorkHeld()) {
            return;
        }
        plan.onCycleEnded(liveWorkBacklog(tasksAwaitingPreemption));
        if (!plan.isBatchWorkHeld()) {
            loop.requestCycle();
        }
    }

    /**
     * Returns whether idle machines are to be kept because live work may need them shortly: it is not known yet which
     * of its tasks are lost.
     */
    public boolean shouldKeepIdleMachines() {
        return plan.isBatchWorkHeld()
                || (!plan.isEveryMachineResolved() && liveWorkBacklog(0).unconfirmedTasks() > 0);
    }

    /** Returns the number of claimed tasks that may be on machines whose first heartbeat is awaited. */
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
