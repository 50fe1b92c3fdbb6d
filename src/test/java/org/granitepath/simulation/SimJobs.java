package org.granitepath.simulation;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Descriptions of jobs, each with an id of its own. */
final class SimJobs {
    private final World world;
    private final int perOffer;
    private int submissions;

    /** @param perOffer how many machines of each type, zone and kind there are */
    SimJobs(World world, int perOffer) {
        this.world = world;
        this.perOffer = perOffer;
    }

    /** Work that may use spot machines and do without checkpoints, of a team without limits. */
    JobSpec batch(int tasks, long runMicros) {
        return job(false, tasks, Priority.STANDARD, "free", true, false, false, runMicros, 0);
    }

    /** The same, all in one zone. */
    JobSpec oneZoneBatch(int tasks, long runMicros) {
        return job(false, tasks, Priority.STANDARD, "free", true, false, true, runMicros, 0);
    }

    /** The same as {@link #batch}, of the team that has a limit. */
    JobSpec limitedBatch(int tasks, long runMicros) {
        return job(false, tasks, Priority.STANDARD, "tight", true, false, false, runMicros, 0);
    }

    /** A service whose replicas are spread over the zones, on full-price machines. */
    JobSpec service(int replicas) {
        return job(true, replicas, Priority.CRITICAL, "free", false, true, false, 0, 0);
    }

    JobSpec job(
            boolean service,
            int tasks,
            Priority priority,
            String team,
            boolean spot,
            boolean spread,
            boolean oneZone,
            long runMicros,
            long checkpointMicros) {
        String id = String.format("run-%06d", ++submissions);
        return new JobSpec(
                id,
                service ? "svc" : "bat",
                team,
                service ? JobSpec.Shape.SERVICE : isGang(tasks, oneZone) ? JobSpec.Shape.GANG : JobSpec.Shape.BATCH,
                priority,
                tasks,
                service ? 1_000 : 2_000,
                0,
                3_000,
                "img-" + world.random.nextInt(3),
                1.0,
                null,
                null,
                oneZone,
                spread,
                spot,
                runMicros,
                checkpointMicros,
                checkpointMicros > 0 ? Simulation.SECOND : 0,
                service ? JobSpec.NO_DEADLINE : 2 * runMicros + 30 * Simulation.SECOND);
    }

    /** Some sizes are gangs, unless a zone of this deployment, services beside them, could never hold one whole. */
    private boolean isGang(int tasks, boolean oneZone) {
        long fullPriceCpu = perOffer * (4_000L + 16_000);
        return tasks % 5 == 4 && (!oneZone || tasks * 2_000L <= fullPriceCpu / 2);
    }

    /** Another job like this one, of so many tasks that take so little. */
    JobSpec withCpu(JobSpec like, int tasks, long cpuMillis) {
        String id = String.format("run-%06d", ++submissions);
        return like(like, id, like.jobClass(), tasks, cpuMillis, 100, like.deadlineMicros());
    }

    /** The same job, without a deadline. */
    JobSpec withoutDeadline(JobSpec like) {
        return like(
                like,
                like.id(),
                like.jobClass(),
                like.tasks(),
                like.cpuMillis(),
                like.memoryMillis(),
                JobSpec.NO_DEADLINE);
    }

    /** The same job, of another class. */
    JobSpec ofClass(JobSpec like, String jobClass) {
        return like(
                like, like.id(), jobClass, like.tasks(), like.cpuMillis(), like.memoryMillis(), like.deadlineMicros());
    }

    private static JobSpec like(
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

    /** A service or other work, of drawn size, place and length. */
    JobSpec randomJob() {
        boolean service = world.random.nextInt(3) == 0;
        return job(
                service,
                1 + world.random.nextInt(service ? 5 : 12),
                service ? Priority.CRITICAL : world.random.nextBoolean() ? Priority.STANDARD : Priority.BEST_EFFORT,
                world.random.nextInt(3) == 0 ? "tight" : "free",
                !service && world.random.nextBoolean(),
                service && world.random.nextBoolean(),
                !service && world.random.nextInt(4) == 0,
                (2 + world.random.nextInt(15)) * Simulation.SECOND,
                world.random.nextInt(2) * 3L * Simulation.SECOND);
    }
}
