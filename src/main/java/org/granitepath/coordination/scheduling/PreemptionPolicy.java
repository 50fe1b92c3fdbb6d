package org.granitepath.coordination.scheduling;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.StartDelay;
import org.granitepath.storage.JobSpec;

/**
 * Decides which running tasks can be stopped for one job at one moment: tasks of lower priority, and tasks that other
 * teams run on borrowed quota.
 */
final class PreemptionPolicy {
    /** A task must have run longer than this before it can be stopped for a job with a deadline. */
    private static final long MIN_RUNTIME_MICROS = 10_000_000;
    /**
     * A job within its guaranteed quota waits this long after its last start for capacity to become free by itself,
     * before tasks on borrowed quota are stopped for it. Without this delay freed capacity moves back and forth: a
     * stopped task starts on another machine and is stopped there again for the next task.
     */
    private static final long RECLAIM_DELAY_MICROS = 2_000_000;

    private final ActiveJob job;
    private final long nowMicros;
    private final boolean canReclaimBorrowed;
    private final ReclaimableCpu reclaimableCpu;

    PreemptionPolicy(ActiveJob job, PlacementRules rules, long nowMicros) {
        this.job = job;
        this.nowMicros = nowMicros;
        this.canReclaimBorrowed = job.scheduling().schedulingClass() == SchedulingClass.GUARANTEED
                && StartDelay.delayMicros(job, nowMicros) > RECLAIM_DELAY_MICROS;
        this.reclaimableCpu = new ReclaimableCpu(rules);
    }

    /** Returns whether any task at all can be stopped for the job. */
    boolean canPreemptAny() {
        return job.isLiveService() || job.spec().hasDeadline() || canReclaimBorrowed;
    }

    /** Returns whether this task can be stopped for the job. */
    boolean canPreempt(Placement placement) {
        return hasPrecedenceOver(placement) || (canReclaimBorrowed && isBorrowed(placement));
    }

    /**
     * Counts those of the victims that run on borrowed quota as reclaimed.
     *
     * @return false if a team of such a victim has no borrowed quota left; then no victim is to be stopped
     */
    boolean reclaimBorrowed(List<Placement> victims) {
        return reclaimableCpu.reclaim(victims.stream()
                .filter(placement -> !hasPrecedenceOver(placement))
                .toList());
    }

    /**
     * Returns how many microseconds the victim can continue in order to save its progress; 0 if the job is a live
     * service, which needs the capacity at once.
     */
    long graceMicros(Placement victim) {
        return job.isLiveService() ? 0 : victim.job().spec().saveDurationMicros();
    }

    /**
     * Returns whether the task can be stopped because of its lower priority alone. Service replicas are never stopped.
     */
    private boolean hasPrecedenceOver(Placement placement) {
        JobSpec victim = placement.job().spec();
        if (!job.spec().priority().isHigherThan(victim.priority()) || victim.isService()) {
            return false;
        }
        if (!job.isLiveService() && victim.isGang()) {
            return false; // a gang saves its progress only if all its tasks receive the stop in time
        }
        return job.isLiveService()
                || (victim.checkpointIntervalMicros() > 0
                        && placement.hasRun()
                        && placement.runTimeMicros(nowMicros) > MIN_RUNTIME_MICROS);
    }

    /** Returns whether another team runs this task on borrowed quota. Service replicas are never stopped. */
    private boolean isBorrowed(Placement placement) {
        String team = placement.job().spec().team();
        return !team.equals(job.spec().team())
                && !placement.job().spec().isService()
                && placement.job().scheduling().schedulingClass() != SchedulingClass.GUARANTEED
                && reclaimableCpu.isAvailableFrom(team);
    }
}
