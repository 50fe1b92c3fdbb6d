package org.granitepath.coordination;

import java.util.List;
import org.granitepath.bookkeeping.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The life of tasks on machines: from the decision to start one to the proof that it is gone. */
final class TaskLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(TaskLifecycle.class);
    private static final long ATTEMPTS_PER_TERM = 1L << 24;

    private final Leadership.Term term;
    private final Fleet fleet;
    private final ActiveJobs jobs;
    private final TeamLimits teamLimits;
    private final Timers timers;
    private final DispatchLoop loop;
    private final CommandQueue commands;
    private long attempts;

    TaskLifecycle(
            Leadership.Term term,
            Fleet fleet,
            ActiveJobs jobs,
            TeamLimits teamLimits,
            Timers timers,
            DispatchLoop loop,
            CommandQueue commands) {
        this.term = term;
        this.fleet = fleet;
        this.jobs = jobs;
        this.teamLimits = teamLimits;
        this.timers = timers;
        this.loop = loop;
        this.commands = commands;
    }

    /** Decides that the job's next task is to start there. The command goes out with the next answer or call. */
    Placement start(ActiveJob job, Machine machine, long now) {
        TaskId task = new TaskId(job.spec.id(), job.takeTask());
        job.lastStartMicros = now;
        // The members of a gang find one another by their common attempt.
        if (!job.spec.gang() || job.placements.isEmpty()) {
            attempts++;
        }
        long attempt = term.fencingToken() * ATTEMPTS_PER_TERM + attempts;
        Placement placement = new Placement(task, job, machine, attempt, machine.session, now);
        place(placement);
        commands.due(machine);
        LOG.debug("task {} goes to {} (running {}, left {})", task, machine.id, job.running(), job.left());
        return placement;
    }

    /** A task that a former leader started is on this machine: from now on it is ours. */
    Placement adopt(ActiveJob job, Machine machine, Heartbeat.TaskReport report, boolean certain, long now) {
        Placement placement = new Placement(report.task(), job, machine, report.attempt(), machine.session, now);
        placement.seen = true;
        placement.certain = certain;
        placement.takenOver = true;
        place(placement);
        placement.transition(Placement.Phase.SENT, "taken over");
        return placement;
    }

    private void place(Placement placement) {
        placement.machine.add(placement);
        placement.job.place(placement);
        teamLimits.placed(placement.job.spec);
    }

    /** Tells the machine to end the task; one that was never sent is freed at once. */
    void stop(Placement placement, long graceMicros, String why) {
        if (placement.phase == Placement.Phase.ASSIGNED) {
            free(placement, why);
        } else if (placement.phase == Placement.Phase.STOPPING && graceMicros < placement.graceMicros) {
            // Told to save before, and cancelled meanwhile: it need not, and must not go on.
            placement.graceMicros = graceMicros;
            commands.due(placement.machine);
        } else if (placement.live() && placement.phase != Placement.Phase.STOPPING) {
            LOG.debug("stopping {} on {}: {}", placement.task, placement.machine.id, why);
            placement.graceMicros = graceMicros;
            placement.transition(Placement.Phase.STOPPING, why);
            commands.due(placement.machine);
        }
    }

    /** Repeats a stop that is not seen to have worked yet. */
    void stopAgain(Placement placement) {
        commands.due(placement.machine);
    }

    /** There is proof that the task is not on the machine. */
    void free(Placement placement, String why) {
        if (placement.live()) {
            release(placement, why);
            loop.notePass();
        }
    }

    private void release(Placement placement, String why) {
        placement.transition(Placement.Phase.FREED, why);
        placement.machine.remove(placement, timers.nowMicros());
        teamLimits.freed(placement.job.spec);
        // Taken over from a report that may be old: that it is not here proves nothing about machines not yet heard.
        placement.job.unplace(placement, !placement.certain && !fleet.allConfirmed());
        jobs.removeIfOver(placement.job);
    }

    void freeAll(Machine machine, String why) {
        for (Placement placement : List.copyOf(machine.placements.values())) {
            free(placement, why);
        }
    }

    /** It was assigned and not sent, and is not to be after all: there is no more room by that than before. */
    void withdraw(Placement placement, String why) {
        if (placement.live()) {
            release(placement, why);
        }
    }

    /** A spot machine is about to be taken: work that can be saved or won't finish moves. */
    void evacuate(Machine machine, long noticeMicros) {
        long now = timers.nowMicros();
        for (Placement placement : List.copyOf(machine.placements.values())) {
            long ran = placement.runningSinceMicros < 0 ? 0 : now - placement.runningSinceMicros;
            boolean saves = placement.job.spec.checkpointMicros() > 0;
            boolean finishes =
                    placement.runningSinceMicros >= 0 && placement.job.spec.estimateMicros() - ran < noticeMicros / 2;
            if (placement.job.spec.service() || saves || !finishes) {
                stop(placement, saves ? placement.job.spec.saveMicros() : 0, "machine is taken back");
            }
        }
    }
}
