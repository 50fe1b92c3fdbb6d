package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.storage.MachineType;

/** What is required of a job by its class's service-level objective, its deadline, and its team's guaranteed quota. */
final class JobObjectives {
    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;

    JobObjectives(Config config, Fleet fleet, ActiveJobs activeJobs) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
    }

    /** Returns the objective of the job's class, or {@link Objective#NONE}. */
    Objective of(ActiveJob job) {
        return config.objectives().getOrDefault(job.spec().jobClass(), Objective.NONE);
    }

    /**
     * Returns the time after its submission by which a job must complete in place of its deadline, in microseconds; 0
     * if there is no such time. Some classes have a completion objective of their own; for them the deadlines that
     * users give are not binding.
     */
    long deadlineOverrideMicros(ActiveJob job) {
        Objective objective = of(job);
        return objective.deadlineFactor() == 0 && job.spec().hasDeadline() ? objective.finishMicros() : 0;
    }

    /**
     * Returns whether this is a gang whose class has an objective. Until it has started, such a gang is scheduled with
     * the jobs that can meet their deadlines: it needs its capacity all at once, and the capacity that other jobs leave
     * unused would never be enough.
     */
    boolean isGangWithObjective(ActiveJob job) {
        Objective objective = of(job);
        return job.spec().isGang() && (objective.waitMicros() > 0 || objective.finishMicros() > 0);
    }

    /**
     * Returns whether the job has had no task on a machine for longer than {@code maxStarvationMicros}. Such a job no
     * longer gives way to jobs with deadlines and competes with them by its fair share, which bounds its starvation.
     */
    boolean isStarved(ActiveJob job, long nowMicros) {
        long withoutTaskMicros = job.scheduling().lastRunningMicros() < 0
                ? activeJobs.ageMicros(job, nowMicros)
                : nowMicros - job.scheduling().lastRunningMicros();
        return withoutTaskMicros > config.tuning().maxStarvationMicros();
    }

    /** See {@link BatchPlanner#needsImmediateStart}. */
    boolean needsImmediateStart(ActiveJob job) {
        long waitMicros = of(job).waitMicros();
        return job.scheduling().schedulingClass() == SchedulingClass.GUARANTEED
                || (waitMicros > 0 && waitMicros < shortestBootMicros());
    }

    /** Returns the shortest boot time of all machine types, in microseconds; 0 if no type is known. */
    double shortestBootMicros() {
        return fleet.types().values().stream()
                .mapToLong(MachineType::bootMicros)
                .min()
                .orElse(0);
    }
}
