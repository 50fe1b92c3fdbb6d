package org.granitepath.coordination.jobs;

import java.util.List;
import java.util.Objects;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Placement;

/**
 * Determines which tasks belong to the current attempt of their gang, and which are to be stopped together. This class
 * only decides: {@link TaskLifecycle} reports each task that begins or ends, and stops the tasks that this class
 * returns.
 */
final class GangMembership {
    /** Adds a task that was started in the current attempt. */
    void addStarted(Placement placement) {
        GangAttempt attempt = currentAttempt(placement.job());
        join(attempt, placement);
        if (placement.job().waitingTasks() == 0) {
            attempt.markAllTasksPlaced();
        }
    }

    /**
     * Adds a task that a previous leader started and that was found on a machine. Attempt numbers only grow, and an
     * attempt begins only after the older ones are proven to be gone, so tasks of older attempts are leftovers.
     *
     * @return the leftovers, which are to be stopped
     */
    List<Placement> addAdopted(Placement placement) {
        ActiveJob job = placement.job();
        GangAttempt attempt = job.gangAttempt();
        if (attempt == null || placement.attempt() > attempt.number()) {
            join(job.beginGangAttempt(placement.attempt()), placement);
            return olderThan(placement);
        }
        if (placement.attempt() < attempt.number()) {
            return List.of(placement);
        }
        join(attempt, placement);
        return List.of();
    }

    private static List<Placement> olderThan(Placement placement) {
        return placement.job().placements().stream()
                .filter(other -> other.attempt() < placement.attempt())
                .toList();
    }

    private static void join(GangAttempt attempt, Placement placement) {
        attempt.recordPlacement(placement.task().index(), placement.machine().id());
    }

    /**
     * Marks the attempt of a task as stopping. A task of a gang is useless without the others and saves its progress
     * only together with them, so all are stopped at once.
     *
     * @return all tasks to stop, which is the given task alone if its job is not a gang
     */
    List<Placement> markStopping(Placement placement, String why) {
        GangAttempt attempt = placement.job().gangAttempt();
        if (attempt == null) {
            return List.of(placement);
        }
        attempt.markStopping(why);
        return List.copyOf(placement.job().placements());
    }

    /**
     * Removes a task that is no longer on its machine.
     *
     * @param maybeElsewhere whether the task may be running on another machine
     * @return whether the other tasks of the gang cannot continue without it
     */
    boolean removeTask(Placement placement, boolean maybeElsewhere, long nowMicros) {
        GangAttempt attempt = placement.job().gangAttempt();
        if (attempt == null || placement.attempt() != attempt.number() || maybeElsewhere) {
            return false;
        }
        boolean wasRunning = attempt.phase() == GangAttempt.Phase.RUNNING;
        attempt.markTaskGone(nowMicros);
        return wasRunning;
    }

    /**
     * Clears the current attempt of a job without placements. This is always safe: a heartbeat that lists one of its
     * tasks restores the attempt.
     */
    void clearAttemptIfGone(ActiveJob job) {
        if (!job.hasPlacements()) {
            job.clearGangAttempt();
        }
    }

    /** Returns the number of the gang's current attempt, by which its tasks find each other. */
    long currentAttemptNumber(ActiveJob job) {
        return currentAttempt(job).number();
    }

    private static GangAttempt currentAttempt(ActiveJob job) {
        return Objects.requireNonNull(job.gangAttempt(), "the gang has no current attempt");
    }
}
