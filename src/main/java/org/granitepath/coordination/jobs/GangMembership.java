package org.granitepath.coordination.jobs;

import java.util.List;
import java.util.Objects;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Placement;

/**
 * Which tasks belong to the present attempt of their gang, and which are to be stopped with one another. It decides
 * only: {@link TaskLifecycle} tells it of each task that begins or ends, and stops those that it names.
 */
final class GangMembership {
    /** A task that was started in the present attempt is a member of it. */
    void addStarted(Placement placement) {
        GangAttempt attempt = currentAttempt(placement.job());
        join(attempt, placement);
        if (placement.job().waitingTasks() == 0) {
            attempt.markAllTasksPlaced();
        }
    }

    /**
     * A task that a former leader started was found. Attempts only grow, and a newer one begins when the older ones are
     * proved gone: what is older is a leftover.
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
     * A task is to be stopped. A task of a gang is of no use without the others, and saves its progress only together
     * with them: all are stopped at once.
     *
     * @return all that are to be stopped; of a job that is no gang the task alone
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
     * A task is not on its machine any more.
     *
     * @param maybeElsewhere whether it may run on another machine
     * @return whether the others can't go on without it
     */
    boolean removeTask(Placement placement, boolean maybeElsewhere, long nowMicros) {
        GangAttempt attempt = placement.job().gangAttempt();
        if (attempt == null || placement.attempt() != attempt.number() || maybeElsewhere) {
            return false;
        }
        boolean ran = attempt.phase() == GangAttempt.Phase.RUNNING;
        attempt.markTaskGone(nowMicros);
        return ran;
    }

    /**
     * An attempt without a placement is forgotten in any case: a heartbeat that lists one of its tasks brings it back.
     */
    void clearAttemptIfGone(ActiveJob job) {
        if (!job.hasPlacements()) {
            job.clearGangAttempt();
        }
    }

    /** The number by which the tasks of the present attempt find each other. */
    long currentAttemptNumber(ActiveJob job) {
        return currentAttempt(job).number();
    }

    private static GangAttempt currentAttempt(ActiveJob job) {
        return Objects.requireNonNull(job.gangAttempt(), "a task of a gang starts in an attempt only");
    }
}
