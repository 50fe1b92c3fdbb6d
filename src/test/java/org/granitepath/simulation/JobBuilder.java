package org.granitepath.simulation;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Builds the spec of a job. By default it belongs to the team without limits, runs on on-demand machines in any zone
 * and has no checkpoints; a batch job has a deadline.
 */
final class JobBuilder {
    private static final long WORK_CPU_MILLIS = 2_000;
    private static final long REPLICA_CPU_MILLIS = 1_000;
    private static final long MEMORY_MILLIS = 3_000;

    private final SimJobs jobs;
    private final boolean service;
    private final int tasks;
    private Priority priority;
    private String team = "free";
    private @Nullable String zone;
    private boolean spot;
    private boolean spread;
    private boolean oneZone;
    private long estimateMicros;
    private long checkpointMicros;
    private boolean deadline;

    JobBuilder(SimJobs jobs, boolean service, int tasks) {
        this.jobs = jobs;
        this.service = service;
        this.tasks = tasks;
        this.deadline = !service;
        this.priority = service ? Priority.CRITICAL : Priority.STANDARD;
    }

    JobBuilder priority(Priority newPriority) {
        priority = newPriority;
        return this;
    }

    JobBuilder team(String newTeam) {
        team = newTeam;
        return this;
    }

    /** Allows only this zone. */
    JobBuilder inZone(String name) {
        zone = name;
        return this;
    }

    /** Allows spot machines. */
    JobBuilder onSpot() {
        return onSpot(true);
    }

    JobBuilder onSpot(boolean allowed) {
        spot = allowed;
        return this;
    }

    /** Sets whether the tasks must be spread over the zones. */
    JobBuilder spread(boolean wanted) {
        spread = wanted;
        return this;
    }

    /** Requires that all tasks run in one zone, whichever it is. */
    JobBuilder inOneZone() {
        return inOneZone(true);
    }

    JobBuilder inOneZone(boolean wanted) {
        oneZone = wanted;
        return this;
    }

    /** Sets the expected run time of a task; the deadline is twice this time plus 30 s. */
    JobBuilder estimate(long micros) {
        estimateMicros = micros;
        return this;
    }

    /** Sets how often tasks save their progress; zero if they never do. */
    JobBuilder checkpointEvery(long micros) {
        checkpointMicros = micros;
        return this;
    }

    JobBuilder withoutDeadline() {
        deadline = false;
        return this;
    }

    /** Creates the spec with a new id and a random image. */
    JobSpec build() {
        String id = jobs.nextId();
        return new JobSpec(
                id,
                service ? "svc" : "bat",
                team,
                shape(),
                priority,
                tasks,
                service ? REPLICA_CPU_MILLIS : WORK_CPU_MILLIS,
                0,
                MEMORY_MILLIS,
                jobs.randomImage(),
                1.0,
                null,
                zone,
                oneZone,
                spread,
                spot,
                estimateMicros,
                checkpointMicros,
                checkpointMicros > 0 ? Simulation.SECOND : 0,
                deadline ? 2 * estimateMicros + 30 * Simulation.SECOND : JobSpec.NO_DEADLINE);
    }

    /**
     * Makes every fifth size of batch jobs a gang, unless the gang must run in one zone and takes more than half of the
     * zone's on-demand CPU: beside services, it might never start.
     */
    private JobSpec.Shape shape() {
        if (service) {
            return JobSpec.Shape.SERVICE;
        }
        boolean fits = !oneZone || tasks * WORK_CPU_MILLIS <= jobs.onDemandCpuMillisPerZone() / 2;
        return tasks % 5 == 4 && fits ? JobSpec.Shape.GANG : JobSpec.Shape.BATCH;
    }
}
