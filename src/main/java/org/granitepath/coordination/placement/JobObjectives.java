package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.storage.MachineType;

/** What is expected of a job: by its class's service-level objective, its deadline, its team's guaranteed quota. */
final class JobObjectives {
    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;

    JobObjectives(Config config, Fleet fleet, ActiveJobs activeJobs) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
    }

    Objective of(ActiveJob job) {
        return config.objectives().getOrDefault(job.spec().jobClass(), Objective.NONE);
    }

    /**
     * The time after its submission by which a job is judged in place of its deadline; 0: there is none. Some classes
     * are judged by a time of their own; their owners' deadlines are wishes.
     */
    long finishInsteadOfDeadlineMicros(ActiveJob job) {
        Objective objective = of(job);
        return objective.deadlineFactor() == 0 && job.spec().hasDeadline() ? objective.finishMicros() : 0;
    }

    /**
     * Whether this is a gang of which something is expected. It goes with what can be in time, until it has started: it
     * needs its capacity all at once, and what other work leaves over never becomes enough.
     */
    boolean isGangWithObjective(ActiveJob job) {
        Objective objective = of(job);
        return job.spec().gang() && (objective.waitMicros() > 0 || objective.finishMicros() > 0);
    }

    /** Giving way has a bound: a job that has long had nothing on a machine competes by its share alone again. */
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

    double shortestBootMicros() {
        return fleet.types().values().stream()
                .mapToLong(MachineType::bootMicros)
                .min()
                .orElse(0);
    }
}
