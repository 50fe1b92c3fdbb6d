package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/**
 * The cost model: what a machine costs for each task of one job, from its launch to the task's end, with penalties for
 * a start or an end that comes late. Costs are only compared with each other.
 */
final class OfferCost {
    /** How long a replica of a service is taken to run. */
    private static final long SERVICE_HORIZON_MICROS = 600_000_000;
    /** A service that starts this much later is worth half as much to its users. */
    private static final double LATE_START_MICROS = 120e6;

    /** A machine that ends a job after its deadline counts as so many times as dear. */
    private static final double LATE_END_FACTOR = 2;
    /** Small shares, which only decide among equals: then the zone with the fewest machines on their way. */
    private static final double SHARE_PER_LAUNCH = 0.001;

    private static final double SHARE_PER_TASK_IN_ZONE = 0.0005;
    private static final double MICROS_PER_SECOND = 1e6;

    private final JobSpec spec;
    private final long horizonMicros;
    private final long untilDeadlineMicros;

    private OfferCost(JobSpec spec, long horizonMicros, long untilDeadlineMicros) {
        this.spec = spec;
        this.horizonMicros = horizonMicros;
        this.untilDeadlineMicros = untilDeadlineMicros;
    }

    /** For the replicas of a service. */
    static OfferCost ofService(JobSpec spec, long ageMicros) {
        return of(spec, SERVICE_HORIZON_MICROS, ageMicros);
    }

    /** For tasks that take so long; {@code ageMicros} is how long ago the job was accepted. */
    static OfferCost of(JobSpec spec, long taskMicros, long ageMicros) {
        return new OfferCost(spec, taskMicros, spec.deadlineMicros() - ageMicros);
    }

    /** How long a machine of this type takes from its launch to the start of a task: it boots and fetches the image. */
    long readyMicros(MachineType type) {
        return type.bootMicros() + (long) (ImageFetchTime.seconds(spec, type) * MICROS_PER_SECOND);
    }

    /**
     * Whether it would be late at full price, although it could run on spot instances: then it can wait for cheaper
     * capacity.
     */
    boolean latenessMakesItWait(long readyMicros, boolean spot) {
        return isLate(readyMicros) && !spot && spec.spot();
    }

    /**
     * The cost for each task on a machine.
     *
     * @param tasks how many tasks of the job share it
     * @param launches how many such machines the plan launches already
     * @param tasksInZone how many tasks of the job its zone has by the plan so far
     */
    double perTask(MachineType type, boolean spot, int tasks, long readyMicros, int launches, int tasksInZone) {
        long paidMicros = Math.max(readyMicros + horizonMicros, Machine.MINIMUM_CHARGE_MICROS);
        double cost = type.priceFor(spot) * paidMicros / tasks;
        if (isLate(readyMicros)) {
            cost *= LATE_END_FACTOR;
        }
        if (spec.service()) {
            cost *= 1 + readyMicros / LATE_START_MICROS;
        }
        return cost * (1 + SHARE_PER_LAUNCH * launches + SHARE_PER_TASK_IN_ZONE * tasksInZone);
    }

    private boolean isLate(long readyMicros) {
        return spec.hasDeadline() && readyMicros + horizonMicros > untilDeadlineMicros;
    }
}
