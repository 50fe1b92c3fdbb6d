package org.granitepath.coordination.scheduling;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.StartDelay;
import org.granitepath.storage.JobSpec;

/** Which running tasks may be stopped for one job at one moment, by priority or because their teams have borrowed. */
final class PreemptionPolicy {
    /** A task that has run for this long may be stopped for a job with a deadline. */
    private static final long MIN_RUNTIME_MICROS = 10_000_000;
    /**
     * So long guaranteed work waits after its last start for capacity that becomes free by itself, before borrowed
     * work is stopped for it. Without this wait freed capacity goes back and forth: what is stopped starts
     * elsewhere, and is stopped there for the next.
     */
    private static final long RECLAIM_DELAY_MICROS = 2_000_000;

    private final ActiveJob job;
    private final long nowMicros;
    private final boolean reclaimsBorrowed;
    private final BorrowedCpu borrowed;

    PreemptionPolicy(ActiveJob job, PlacementRules rules, long nowMicros) {
        this.job = job;
        this.nowMicros = nowMicros;
        this.reclaimsBorrowed = job.scheduling().schedulingClass() == SchedulingClass.GUARANTEED
                && StartDelay.micros(job, nowMicros) > RECLAIM_DELAY_MICROS;
        this.borrowed = new BorrowedCpu(rules);
    }

    /** Whether anything at all may be stopped for the job. */
    boolean mayPreempt() {
        return job.isLiveService() || job.spec().hasDeadline() || reclaimsBorrowed;
    }

    /** Whether this task may be stopped for the job. */
    boolean mayPreempt(Placement placement) {
        return hasPrecedenceOver(placement) || (reclaimsBorrowed && isBorrowed(placement));
    }

    /** Counts what is borrowed of these tasks; false: more than their teams have borrowed, so they are left alone. */
    boolean reclaimBorrowed(List<Placement> victims) {
        return borrowed.reclaim(victims.stream()
                .filter(placement -> !hasPrecedenceOver(placement))
                .toList());
    }

    /** How long the task may go on to save its progress. A live replica's capacity is needed at once. */
    long graceMicros(Placement victim) {
        return job.isLiveService() ? 0 : victim.job().spec().saveMicros();
    }

    /** By priority alone. Live replicas are never stopped. */
    private boolean hasPrecedenceOver(Placement placement) {
        JobSpec victim = placement.job().spec();
        if (!job.spec().priority().above(victim.priority()) || victim.service()) {
            return false;
        }
        if (!job.isLiveService() && victim.gang()) {
            return false; // it saves only when all its tasks are reached in time
        }
        return job.isLiveService()
                || (victim.checkpointMicros() > 0
                        && placement.hasRun()
                        && placement.runTimeMicros(nowMicros) > MIN_RUNTIME_MICROS);
    }

    /** Whether another team runs this task beyond its own guaranteed quota. Live replicas are never stopped. */
    private boolean isBorrowed(Placement placement) {
        String team = placement.job().spec().team();
        return !team.equals(job.spec().team())
                && !placement.job().spec().service()
                && placement.job().scheduling().schedulingClass() != SchedulingClass.GUARANTEED
                && borrowed.isLeftTo(team);
    }
}
