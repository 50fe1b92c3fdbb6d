package org.granitepath.coordination.fleet;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically logs one line for operators: the size of the fleet, its utilization, and the waiting tasks. */
public final class FleetSummary {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSummary.class);
    private static final long INTERVAL_MICROS = 10_000_000;

    /** Total and used CPUs of spot or on-demand machines, in thousandths of a CPU. */
    private static final class CpuUsage {
        private long totalMillis;
        private long usedMillis;

        void add(Machine machine, MachineType type) {
            totalMillis += type.cpuMillis();
            usedMillis += type.cpuMillis() - machine.capacity().freeCpuMillis();
        }

        @Override
        public String toString() {
            return usedMillis / 1000 + "/" + totalMillis / 1000;
        }
    }

    private final Fleet fleet;
    private final ActiveJobs jobs;
    private long dueMicros;

    /** Creates a summary of these machines and jobs. */
    public FleetSummary(Fleet fleet, ActiveJobs jobs) {
        this.fleet = fleet;
        this.jobs = jobs;
    }

    /**
     * Logs the summary unless it was logged within the last 10 seconds.
     *
     * @param booting the number of machines that were launched and have sent no heartbeat yet
     */
    public void logIfDue(int booting, long nowMicros) {
        if (nowMicros < dueMicros) {
            return;
        }
        dueMicros = nowMicros + INTERVAL_MICROS;
        CpuUsage onDemand = new CpuUsage();
        CpuUsage spot = new CpuUsage();
        int idle = 0;
        for (Machine machine : fleet.machines()) {
            MachineType type = machine.type();
            if (type != null) {
                (machine.isSpot() ? spot : onDemand).add(machine, type);
                idle += machine.isEmpty() ? 1 : 0;
            }
        }
        int waiting = 0;
        int running = 0;
        for (ActiveJob job : jobs.all()) {
            waiting += Math.max(0, job.waitingTasks());
            running += job.runningTasks();
        }
        LOG.info(
                "fleet: {} machines ({} idle, {} booting); CPUs used: {} on demand, {} spot; tasks: {} running, {} "
                        + "waiting; {} jobs",
                fleet.machines().size(),
                idle,
                booting,
                onDemand,
                spot,
                running,
                waiting,
                jobs.all().size());
    }
}
