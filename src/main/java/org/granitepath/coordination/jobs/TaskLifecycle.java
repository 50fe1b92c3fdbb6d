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
 * The life of tasks on machines: from the decision to start one to the proof that it is gone. Tasks begin and end here
 * alone; which tasks of a gang belong together is up to {@link GangMembership}.
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
    private final CommandQueue commands;
    private final GangMembership gangs = new GangMembership();
    private long lastAttemptInTerm;

    /** Places and frees tasks under the fencing token of this term. */
    public TaskLifecycle(
            Leadership.Term term,
            TermRecovery recovery,
            ActiveJobs jobs,
            TeamLimits teamLimits,
            Timers timers,
            SchedulingLoop loop,
            CommandQueue commands) {
        this.term = term;
        this.recovery = recovery;
        this.jobs = jobs;
        this.teamLimits = teamLimits;
        this.timers = timers;
        this.loop = loop;
        this.commands = commands;
    }

    /** Decides that the job's next task is to start there. The command goes out with the next answer or call. */
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
        commands.enqueue(machine);
        LOG.debug(
                "task {} attempt {} goes to machine {} ({} running, {} unfinished)",
                task,
                attempt,
                machine.id(),
                job.runningTasks(),
                job.unfinishedTasks());
        return placement;
    }

    /** Decides that a whole gang is to start, one task on each of these machines, under an attempt of its own. */
    public void startGang(ActiveJob job, List<Machine> machines, long nowMicros) {
        job.beginGangAttempt(nextAttempt());
        for (Machine machine : machines) {
            startInGang(job, job.takeTask(), machine, nowMicros);
        }
    }

    /** Decides that a task of a gang is to join the others of its attempt. */
    public void startInGang(ActiveJob job, int index, Machine machine, long nowMicros) {
        job.takeTask(index);
        gangs.addStarted(start(job, index, machine, gangs.currentAttemptNumber(job), nowMicros));
    }

    /**
     * A task that a former leader started is on this machine: from now on it is ours.
     *
     * @param onlyHere whether it is listed under the present fencing token, so that it can be nowhere else
     */
    public Placement adopt(
            ActiveJob job, Machine machine, Heartbeat.TaskStatus status, boolean onlyHere, long nowMicros) {
        Placement placement = Placement.adopted(status.task(), job, machine, status.attempt(), onlyHere, nowMicros);
        place(placement);
        if (job.spec().gang()) {
            for (Placement leftover : gangs.addAdopted(placement)) {
                stopOne(leftover, 0, "of an older attempt of its gang");
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
     * Tells the machine to end the task; one that was never sent is freed at once. All tasks of a gang are stopped
     * together.
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
            commands.enqueue(placement.machine());
        } else if (placement.isActive() && placement.phase() != Placement.Phase.STOPPING) {
            placement.stop(graceMicros, why);
            commands.enqueue(placement.machine());
        }
    }

    /** Repeats a stop that is not seen to have worked yet. */
    public void resendStop(Placement placement) {
        commands.enqueue(placement.machine());
    }

    /** There is proof that the task is not on the machine. */
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
        // Taken over from a heartbeat that may be old: that it is not here proves nothing about machines still awaited.
        boolean maybeElsewhere = !placement.isOnlyOnThisMachine() && recovery.canRunOnAwaitedMachine(placement.job());
        placement.job().removePlacement(placement, maybeElsewhere);
        if (gangs.removeTask(placement, maybeElsewhere, timers.nowMicros())) {
            // The others would notice by themselves; their places are free sooner this way.
            stop(placement, 0, "a task of its gang is gone");
        }
        gangs.clearAttemptIfGone(placement.job());
        jobs.removeIfEnded(placement.job());
    }

    /** There is proof that no task is on the machine. */
    public void freeAll(Machine machine, String why) {
        for (Placement placement : List.copyOf(machine.placements())) {
            free(placement, why);
        }
    }

    /** A spot machine is about to be taken: work that can be saved or won't finish moves. */
    public void evacuate(Machine machine, long noticeMicros) {
        long nowMicros = timers.nowMicros();
        for (Placement placement : List.copyOf(machine.placements())) {
            JobSpec spec = placement.job().spec();
            boolean saves = spec.checkpointMicros() > 0;
            if (spec.service() || saves || !finishesWithin(noticeMicros / 2, placement, nowMicros)) {
                stop(placement, saves ? spec.saveMicros() : 0, "machine is taken back");
            }
        }
    }

    private static boolean finishesWithin(long micros, Placement placement, long nowMicros) {
        long leftMicros = placement.job().spec().estimateMicros() - placement.runTimeMicros(nowMicros);
        return placement.hasRun() && leftMicros < micros;
    }
}
