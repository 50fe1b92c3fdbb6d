package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Micros;

/**
 * Cost model of a machine: the cost for each task of one job, from the launch of the machine to the end of the task,
 * with penalties for a late start and for a missed deadline. Costs have no unit and are only compared with each other.
 */
final class OfferCost {
    /** Assumed run time of a replica of a service. */
    private static final long SERVICE_RUN_MICROS = 600_000_000;
    /** A service that starts this much later is worth half as much to its users, so its cost counts twice. */
    private static final double LATE_START_MICROS = 120e6;

    /** Factor on the cost of a machine on which the job ends after its deadline. */
    private static final double MISSED_DEADLINE_FACTOR = 2;
    /**
     * Relative penalties that are so small that they only decide between offers of equal cost. They favor the zone with
     * the fewest planned machines and tasks.
     */
    private static final double PENALTY_PER_LAUNCH = 0.001;

    private static final double PENALTY_PER_TASK_IN_ZONE = 0.0005;

    private final JobSpec spec;
    private final long runMicros;
    private final long timeToDeadlineMicros;

    private OfferCost(JobSpec spec, long runMicros, long timeToDeadlineMicros) {
        this.spec = spec;
        this.runMicros = runMicros;
        this.timeToDeadlineMicros = timeToDeadlineMicros;
    }

    /**
     * Returns the cost model for the replicas of a service.
     *
     * @param ageMicros the time since the job was accepted
     */
    static OfferCost forService(JobSpec spec, long ageMicros) {
        return forTasks(spec, SERVICE_RUN_MICROS, ageMicros);
    }

    /**
     * Returns the cost model for tasks of a job.
     *
     * @param taskMicros the run time of a task
     * @param ageMicros the time since the job was accepted
     */
    static OfferCost forTasks(JobSpec spec, long taskMicros, long ageMicros) {
        return new OfferCost(spec, taskMicros, spec.deadlineMicros() - ageMicros);
    }

    /** Returns the time from the launch of a machine of this type to the start of a task: boot plus image fetch. */
    long startupMicros(MachineType type) {
        return type.bootMicros() + (long) (ImageFetchTime.seconds(spec, type) * Micros.PER_SECOND);
    }

    /**
     * Returns whether the job should wait for cheaper capacity: it could run on spot instances, and on an on-demand
     * machine it would miss its deadline anyway.
     *
     * @param startupMicros the time from the launch of the machine to the start of a task
     * @param spot whether the machine is a spot instance, for which the answer is always false
     */
    boolean shouldWaitForSpot(long startupMicros, boolean spot) {
        return missesDeadline(startupMicros) && !spot && spec.spotAllowed();
    }

    /**
     * Returns the cost for each task on a machine, a number without a unit.
     *
     * @param spot whether the machine is a spot instance
     * @param tasks how many tasks share the machine
     * @param startupMicros the time from the launch of the machine to the start of a task
     * @param launches how many such machines the plan launches already
     * @param tasksInZone how many tasks of the job the machine's zone has according to the plan so far
     */
    double costPerTask(MachineType type, boolean spot, int tasks, long startupMicros, int launches, int tasksInZone) {
        long paidMicros = Math.max(startupMicros + runMicros, Machine.MINIMUM_CHARGE_MICROS);
        double cost = type.hourlyPrice(spot) * paidMicros / tasks;
        if (missesDeadline(startupMicros)) {
            cost *= MISSED_DEADLINE_FACTOR;
        }
        if (spec.isService()) {
            cost *= 1 + startupMicros / LATE_START_MICROS;
        }
        return cost * (1 + PENALTY_PER_LAUNCH * launches + PENALTY_PER_TASK_IN_ZONE * tasksInZone);
    }

    private boolean missesDeadline(long startupMicros) {
        return spec.hasDeadline() && startupMicros + runMicros > timeToDeadlineMicros;
    }
}
