package org.granitepath.simulation;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * A job that is being described: of the team without limits, anywhere on full-price machines and without checkpoints,
 * unless something else is said.
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

    JobBuilder priority(Priority other) {
        priority = other;
        return this;
    }

    JobBuilder team(String other) {
        team = other;
        return this;
    }

    /** It may use spot machines. */
    JobBuilder onSpot() {
        return onSpot(true);
    }

    JobBuilder onSpot(boolean allowed) {
        spot = allowed;
        return this;
    }

    /** Its tasks are spread over the zones. */
    JobBuilder spread(boolean wanted) {
        spread = wanted;
        return this;
    }

    /** All its tasks run in one zone, whichever. */
    JobBuilder inOneZone() {
        return inOneZone(true);
    }

    JobBuilder inOneZone(boolean wanted) {
        oneZone = wanted;
        return this;
    }

    /** How long a task is expected to run; the deadline follows from it. */
    JobBuilder estimate(long micros) {
        estimateMicros = micros;
        return this;
    }

    /** Its tasks save their progress this often; zero: never. */
    JobBuilder checkpointEvery(long micros) {
        checkpointMicros = micros;
        return this;
    }

    JobBuilder withoutDeadline() {
        deadline = false;
        return this;
    }

    /** The description, under an id of its own and with an image that is drawn now. */
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
                null,
                oneZone,
                spread,
                spot,
                estimateMicros,
                checkpointMicros,
                checkpointMicros > 0 ? Simulation.SECOND : 0,
                deadline ? 2 * estimateMicros + 30 * Simulation.SECOND : JobSpec.NO_DEADLINE);
    }

    /** Some sizes are gangs, unless a zone of this deployment, services beside them, could never hold one whole. */
    private JobSpec.Shape shape() {
        if (service) {
            return JobSpec.Shape.SERVICE;
        }
        boolean fits = !oneZone || tasks * WORK_CPU_MILLIS <= jobs.onDemandCpuMillisPerZone() / 2;
        return tasks % 5 == 4 && fits ? JobSpec.Shape.GANG : JobSpec.Shape.BATCH;
    }
}
