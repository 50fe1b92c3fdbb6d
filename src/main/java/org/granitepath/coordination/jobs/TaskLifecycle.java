package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life cycle of tasks on machines, from the decision to start a task until it is proven to be gone. Only this class
 * starts and ends tasks; {@link GangMembership} decides which tasks of a gang belong together.
 */
public final class TaskLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(TaskLifecycle.class);
    private static final long MAX_ATTEMPTS_PER_TERM = 1L << 24;

    private final Leadership.Term term;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TeamLimits teamLimits;
    private final Timers timers;
    private final SchedulingLoop loop;
    private final MachinesWithCommands machinesWithCommands;
    private final GangMembership gangs = new GangMembership();
    private long lastAttemptInTerm;

    /** Creates a life cycle that numbers attempts by the fencing token of the given term. */
    public TaskLifecycle(
            Leadership.Term term,
            TermRecovery recovery,
            ActiveJobs jobs,
            TeamLimits teamLimits,
            Timers timers,
            SchedulingLoop loop,
            MachinesWithCommands machinesWithCommands) {
        this.term = term;
        this.recovery = recovery;
        this.jobs = jobs;
        this.teamLimits = teamLimits;
        this.timers = timers;
        this.loop = loop;
        this.machinesWithCommands = machinesWithCommands;
    }

    /**
     * Starts the job's next task on the machine. The command is sent with the next heartbeat response or direct call.
     */
    public Placement start(ActiveJob job, Machine machine, long nowMicros) {
        return start(job, job.takeTask(), machine, nextAttempt(), nowMicros);
    }

    private long nextAttempt() {
        lastAttemptInTerm++;
        return term.fencingToken() * MAX_ATTEMPTS_PER_TERM + lastAttemptInTerm;
    }

    private Placement start(ActiveJob job, int index, Machine machine, long attempt, long nowMicros) {
        TaskId task = new TaskId(job.spec().id(), index);
        job.scheduling().recordStart(nowMicros);
        Placement placement = new Placement(task, job, machine, attempt, nowMicros);
        place(placement);
        machinesWithCommands.enqueue(machine);
        LOG.debug(
                "task {} attempt {} assigned to machine {} (job has {} running and {} unfinished tasks)",
                task,
                attempt,
                machine.id(),
                job.runningTasks(),
                job.unfinishedTasks());
        return placement;
    }

    /** Starts a whole gang in a new attempt, with one task on each of the machines. */
    public void startGang(ActiveJob job, List<Machine> machines, long nowMicros) {
        job.beginGangAttempt(nextAttempt());
        for (Machine machine : machines) {
            startInGang(job, job.takeTask(), machine, nowMicros);
        }
    }

    /** Starts a task of a gang in the gang's current attempt. */
    public void startInGang(ActiveJob job, int index, Machine machine, long nowMicros) {
        job.takeTask(index);
        gangs.addStarted(start(job, index, machine, gangs.currentAttemptNumber(job), nowMicros));
    }

    /**
     * Adopts a task that a previous leader started on the machine. It belongs to this leader from now on.
     *
     * @param onlyOnThisMachine whether it is listed under the current fencing token, which rules out other machines
     */
    public Placement adopt(
            ActiveJob job, Machine machine, Heartbeat.TaskStatus status, boolean onlyOnThisMachine, long nowMicros) {
        Placement placement =
                Placement.adopted(status.task(), job, machine, status.attempt(), onlyOnThisMachine, nowMicros);
        place(placement);
        if (job.spec().isGang()) {
            for (Placement leftover : gangs.addAdopted(placement)) {
                stopOne(leftover, 0, "belongs to an older attempt of its gang");
            }
        }
        return placement;
    }

    private void place(Placement placement) {
        placement.machine().add(placement);
        placement.job().addPlacement(placement);
        teamLimits.addTask(placement.job().spec());
    }

    /**
     * Tells the machine to stop the task. A task that was never sent is freed at once, and all tasks of a gang are
     * stopped together.
     *
     * @param graceMicros how long the task may take to save its progress
     */
    public void stop(Placement placement, long graceMicros, String why) {
        for (Placement each : gangs.markStopping(placement, why)) {
            stopOne(each, graceMicros, why);
        }
    }

    private void stopOne(Placement placement, long graceMicros, String why) {
        if (placement.phase() == Placement.Phase.ASSIGNED) {
            free(placement, why);
        } else if (placement.phase() == Placement.Phase.STOPPING && graceMicros < placement.graceMicros()) {
            placement.shortenGrace(graceMicros);
            machinesWithCommands.enqueue(placement.machine());
        } else if (placement.isActive() && placement.phase() != Placement.Phase.STOPPING) {
            placement.stop(graceMicros, why);
            machinesWithCommands.enqueue(placement.machine());
        }
    }

    /** Sends again a stop that has not taken effect yet. */
    public void resendStop(Placement placement) {
        machinesWithCommands.enqueue(placement.machine());
    }

    /** Frees a task that is proven not to be on the machine. */
    public void free(Placement placement, String why) {
        if (placement.isActive()) {
            release(placement, why);
            loop.markCycleNeeded();
        }
    }

    private void release(Placement placement, String why) {
        placement.free(why);
        placement.machine().remove(placement, timers.nowMicros());
        teamLimits.removeTask(placement.job().spec());
        // An adopted task may come from an old heartbeat. If it is gone here, it may still be on an awaited machine.
        boolean maybeElsewhere = !placement.isOnlyOnThisMachine() && recovery.canRunOnAwaitedMachine(placement.job());
        placement.job().removePlacement(placement, maybeElsewhere);
        if (gangs.removeTask(placement, maybeElsewhere, timers.nowMicros())) {
            // The other tasks would notice by themselves, but stopping them frees their capacity sooner.
            stop(placement, 0, "a task of its gang is gone");
        }
        gangs.clearAttemptIfGone(placement.job());
        jobs.removeIfEnded(placement.job());
    }

    /** Withdraws the tasks whose start was not sent to the machine yet, so that they are placed on other machines. */
    public void withdrawUnsent(Machine machine, String why) {
        for (Placement placement : List.copyOf(machine.placements())) {
            if (placement.phase() == Placement.Phase.ASSIGNED) {
                stop(placement, 0, why);
            }
        }
    }

    /** Frees all tasks of a machine that is proven to have none. */
    public void freeAll(Machine machine, String why) {
        for (Placement placement : List.copyOf(machine.placements())) {
            free(placement, why);
        }
    }

    /**
     * Stops tasks on a spot machine that the cloud is about to reclaim: services, tasks that can save their progress,
     * and tasks that will not finish within half of the notice.
     */
    public void evacuate(Machine machine, long noticeMicros) {
        long nowMicros = timers.nowMicros();
        for (Placement placement : List.copyOf(machine.placements())) {
            JobSpec spec = placement.job().spec();
            boolean saves = spec.checkpointIntervalMicros() > 0;
            if (spec.isService() || saves || !finishesWithin(noticeMicros / 2, placement, nowMicros)) {
                stop(placement, saves ? spec.saveDurationMicros() : 0, "the cloud reclaims the machine");
            }
        }
    }

    private static boolean finishesWithin(long micros, Placement placement, long nowMicros) {
        long leftMicros = placement.job().spec().estimatedRunMicros() - placement.runTimeMicros(nowMicros);
        return placement.hasRun() && leftMicros < micros;
    }
}
