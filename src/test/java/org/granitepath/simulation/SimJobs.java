package org.granitepath.simulation;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Creates job specs, each with a unique id, with defaults and random draws for the simulation. */
final class SimJobs {
    private final SimEnvironment environment;
    private final int machinesPerOffer;
    private int lastJobNumber;

    /** @param machinesPerOffer the capacity of the cloud, in machines per type, zone and price model */
    SimJobs(SimEnvironment environment, int machinesPerOffer) {
        this.environment = environment;
        this.machinesPerOffer = machinesPerOffer;
    }

    /** A builder of a batch job with this estimate per task, for the team without limits, on on-demand machines. */
    JobBuilder batchBuilder(int tasks, long runMicros) {
        return new JobBuilder(this, false, tasks).estimate(runMicros);
    }

    /** A builder of a critical service, for the team without limits, on on-demand machines. */
    JobBuilder serviceBuilder(int replicas) {
        return new JobBuilder(this, true, replicas);
    }

    /** A batch job of the team without limits that may use spot machines and has no checkpoints. */
    JobSpec batch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().build();
    }

    /** A job like {@link #batch} whose tasks must all run in one zone. */
    JobSpec oneZoneBatch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().inOneZone().build();
    }

    /** A job like {@link #batch} of the team with a CPU limit. */
    JobSpec limitedBatch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().team("tight").build();
    }

    /** A service whose replicas are spread over the zones, on on-demand machines. */
    JobSpec service(int replicas) {
        return serviceBuilder(replicas).spread(true).build();
    }

    String nextId() {
        return String.format("run-%06d", ++lastJobNumber);
    }

    /** One of three images, drawn at random. */
    String randomImage() {
        return "img-" + environment.random.nextInt(3);
    }

    /** The CPU of all on-demand machines that a zone can have, in thousandths of a CPU. */
    long onDemandCpuMillisPerZone() {
        return machinesPerOffer * (4_000L + 16_000);
    }

    /** A copy of a job with a new id, this many tasks, this much CPU per task, and 0.1 GB of memory per task. */
    JobSpec withCpu(JobSpec original, int tasks, long cpuMillis) {
        return copy(original, nextId(), original.jobClass(), tasks, cpuMillis, 100, original.deadlineMicros());
    }

    /** The same job without a deadline. */
    JobSpec withoutDeadline(JobSpec original) {
        return copy(
                original,
                original.id(),
                original.jobClass(),
                original.tasks(),
                original.cpuMillis(),
                original.memoryMillis(),
                JobSpec.NO_DEADLINE);
    }

    /** The same job with another class. */
    JobSpec withJobClass(JobSpec original, String jobClass) {
        return copy(
                original,
                original.id(),
                jobClass,
                original.tasks(),
                original.cpuMillis(),
                original.memoryMillis(),
                original.deadlineMicros());
    }

    private static JobSpec copy(
            JobSpec original,
            String id,
            String jobClass,
            int tasks,
            long cpuMillis,
            long memoryMillis,
            long deadlineMicros) {
        return new JobSpec(
                id,
                jobClass,
                original.team(),
                original.shape(),
                original.priority(),
                tasks,
                cpuMillis,
                0,
                memoryMillis,
                original.image(),
                original.imageGb(),
                original.allowedTypeNames(),
                original.zone(),
                original.oneZone(),
                original.spread(),
                original.spotAllowed(),
                original.estimatedRunMicros(),
                original.checkpointIntervalMicros(),
                original.saveDurationMicros(),
                deadlineMicros);
    }

    /**
     * A service or batch job with random size, constraints and estimate. The order of the draws must not change,
     * because the events of every scenario depend on it.
     */
    JobSpec randomJob() {
        boolean service = environment.random.nextInt(3) == 0;
        return new JobBuilder(this, service, 1 + environment.random.nextInt(service ? 5 : 12))
                .priority(
                        service
                                ? Priority.CRITICAL
                                : environment.random.nextBoolean() ? Priority.STANDARD : Priority.BEST_EFFORT)
                .team(environment.random.nextInt(3) == 0 ? "tight" : "free")
                .onSpot(!service && environment.random.nextBoolean())
                .spread(service && environment.random.nextBoolean())
                .inOneZone(!service && environment.random.nextInt(4) == 0)
                .estimate((2 + environment.random.nextInt(15)) * Simulation.SECOND)
                .checkpointEvery(environment.random.nextInt(2) * 3L * Simulation.SECOND)
                .build();
    }
}
