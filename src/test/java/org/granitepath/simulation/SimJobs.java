package org.granitepath.simulation;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Descriptions of jobs, each with an id of its own. */
final class SimJobs {
    private final SimEnvironment environment;
    private final int machinesPerOffer;
    private int lastJobNumber;

    /** @param machinesPerOffer how many machines of each type, zone and kind there are */
    SimJobs(SimEnvironment environment, int machinesPerOffer) {
        this.environment = environment;
        this.machinesPerOffer = machinesPerOffer;
    }

    /** Work whose tasks are expected to run for so long; for the team without limits, on full-price machines. */
    JobBuilder batchBuilder(int tasks, long runMicros) {
        return new JobBuilder(this, false, tasks).estimate(runMicros);
    }

    /** A critical service; for the team without limits, on full-price machines. */
    JobBuilder serviceBuilder(int count) {
        return new JobBuilder(this, true, count);
    }

    /** Work that may use spot machines and do without checkpoints, of a team without limits. */
    JobSpec batch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().build();
    }

    /** The same, all in one zone. */
    JobSpec oneZoneBatch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().inOneZone().build();
    }

    /** The same as {@link #batch}, of the team that has a limit. */
    JobSpec limitedBatch(int tasks, long runMicros) {
        return batchBuilder(tasks, runMicros).onSpot().team("tight").build();
    }

    /** A service whose replicas are spread over the zones, on full-price machines. */
    JobSpec service(int replicas) {
        return serviceBuilder(replicas).spread(true).build();
    }

    String nextId() {
        return String.format("run-%06d", ++lastJobNumber);
    }

    /** One of three images, at random. */
    String randomImage() {
        return "img-" + environment.random.nextInt(3);
    }

    /** What all full-price machines of a zone have. */
    long onDemandCpuMillisPerZone() {
        return machinesPerOffer * (4_000L + 16_000);
    }

    /** Another job like this one, of so many tasks that take so little. */
    JobSpec withCpu(JobSpec like, int tasks, long cpuMillis) {
        return copy(like, nextId(), like.jobClass(), tasks, cpuMillis, 100, like.deadlineMicros());
    }

    /** The same job, without a deadline. */
    JobSpec withoutDeadline(JobSpec like) {
        return copy(
                like,
                like.id(),
                like.jobClass(),
                like.tasks(),
                like.cpuMillis(),
                like.memoryMillis(),
                JobSpec.NO_DEADLINE);
    }

    /** The same job, of another class. */
    JobSpec withJobClass(JobSpec like, String jobClass) {
        return copy(
                like, like.id(), jobClass, like.tasks(), like.cpuMillis(), like.memoryMillis(), like.deadlineMicros());
    }

    private static JobSpec copy(
            JobSpec like,
            String id,
            String jobClass,
            int tasks,
            long cpuMillis,
            long memoryMillis,
            long deadlineMicros) {
        return new JobSpec(
                id,
                jobClass,
                like.team(),
                like.shape(),
                like.priority(),
                tasks,
                cpuMillis,
                0,
                memoryMillis,
                like.image(),
                like.imageGb(),
                like.types(),
                like.zone(),
                like.oneZone(),
                like.spread(),
                like.spot(),
                like.estimateMicros(),
                like.checkpointMicros(),
                like.saveMicros(),
                deadlineMicros);
    }

    /** A service or other work, of drawn size, place and length. The order of the draws is part of every scenario. */
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
