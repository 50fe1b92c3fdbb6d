package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;

/**
 * All batch work at hand and the capacity for it, as of the last update. Capacity is in thousandths of a CPU, work in
 * such thousandths times microseconds, so that their quotient is a time in microseconds.
 */
final class CapacitySurvey {
    /** How much of a running task is left, on the average. */
    private static final double LEFT_OF_RUNNING_TASK = 0.5;

    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final RuntimeEstimator runtimeEstimator;
    private double batchWork;
    /** Of it, that with a deadline: it goes before the rest. */
    private double deadlineWork;

    private double cpuMillis;
    /** Of it, that on spot machines and beside services, which is paid for anyway. */
    private double cheapCpuMillis;

    CapacitySurvey(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.runtimeEstimator = runtimeEstimator;
    }

    void update(long nowMicros) {
        sumUpWork();
        sumUpCapacity(nowMicros);
    }

    private void sumUpWork() {
        batchWork = 0;
        deadlineWork = 0;
        for (ActiveJob job : activeJobs.all()) {
            if (!job.spec().service()) {
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

    /** The CPU time that the job still needs. */
    double remainingWork(ActiveJob job) {
        return (job.unfinishedTasks() - LEFT_OF_RUNNING_TASK * job.runningTasks())
                * job.spec().cpuMillis()
                * runtimeEstimator.expectedTaskMicros(job);
    }

    /** Thousandths of a CPU that batch work has or can have. */
    double capacityCpuMillis() {
        return cpuMillis;
    }

    /** How long all batch work takes, with so much more capacity. */
    double drainMicros(double moreCpuMillis) {
        return batchWork / Math.max(1, cpuMillis + moreCpuMillis);
    }

    /** How long all batch work takes on cheap capacity alone, with so much more of it. */
    double drainOnCheapCapacityMicros(double moreCpuMillis) {
        return batchWork / Math.max(1, cheapCpuMillis + moreCpuMillis);
    }

    /** The same for the work that has a deadline. */
    double drainDeadlineWorkOnCheapCapacityMicros(double moreCpuMillis) {
        return deadlineWork / Math.max(1, cheapCpuMillis + moreCpuMillis);
    }
}
