package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;

/**
 * Totals of the remaining batch work and of the capacity for it, as of the last update. Capacity is in thousandths of a
 * CPU and work in thousandths of a CPU times microseconds, so that work divided by capacity is a time in microseconds.
 */
final class WorkloadTotals {
    /** The share of a running task's work that remains on average. */
    private static final double REMAINING_SHARE_OF_RUNNING_TASK = 0.5;

    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final RuntimeEstimator runtimeEstimator;
    private double batchWork;
    /** The part of {@link #batchWork} that has a deadline; it is scheduled before the rest. */
    private double deadlineWork;

    private double cpuMillis;
    /**
     * The part of {@link #cpuMillis} on spot machines, which are cheap, and on machines that host services, which are
     * paid for in any case.
     */
    private double cheapCpuMillis;

    WorkloadTotals(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Computes the totals again from the current jobs and machines. */
    void update(long nowMicros) {
        sumUpWork();
        sumUpCapacity(nowMicros);
    }

    private void sumUpWork() {
        batchWork = 0;
        deadlineWork = 0;
        for (ActiveJob job : activeJobs.all()) {
            if (!job.spec().isService()) {
                double work = remainingWork(job);
                batchWork += work;
                deadlineWork += job.spec().hasDeadline() ? work : 0;
            }
        }
    }

    private void sumUpCapacity(long nowMicros) {
        cpuMillis = 0;
        cheapCpuMillis = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.type() != null
                    && machine.phase() != Machine.Phase.TERMINATING
                    && !machine.contact()
                            .isUnresponsive(nowMicros, config.workers().heartbeatIntervalMicros())) {
                long batchCpuMillis =
                        machine.type().cpuMillis() - machine.capacity().serviceCpuMillis();
                cpuMillis += batchCpuMillis;
                cheapCpuMillis += machine.isSpot() || machine.capacity().hasService() ? batchCpuMillis : 0;
            }
        }
    }

    /** Returns the CPU time that the job still needs, in thousandths of a CPU times microseconds. */
    double remainingWork(ActiveJob job) {
        return (job.unfinishedTasks() - REMAINING_SHARE_OF_RUNNING_TASK * job.runningTasks())
                * job.spec().cpuMillis()
                * runtimeEstimator.expectedTaskMicros(job);
    }

    /** Returns the capacity that batch tasks use or can use, in thousandths of a CPU. */
    double capacityCpuMillis() {
        return cpuMillis;
    }

    /** Returns how many microseconds all batch work takes, given this much additional capacity. */
    double completionMicros(double additionalCpuMillis) {
        return batchWork / Math.max(1, cpuMillis + additionalCpuMillis);
    }

    /** Returns how many microseconds all batch work takes on cheap capacity alone, given this much more of it. */
    double completionOnCheapCapacityMicros(double additionalCpuMillis) {
        return batchWork / Math.max(1, cheapCpuMillis + additionalCpuMillis);
    }

    /** Like {@link #completionOnCheapCapacityMicros}, but only for the batch work that has a deadline. */
    double deadlineWorkCompletionOnCheapCapacityMicros(double additionalCpuMillis) {
        return deadlineWork / Math.max(1, cheapCpuMillis + additionalCpuMillis);
    }
}
