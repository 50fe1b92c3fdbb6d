package org.granitepath.coordination.fleet;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One log line now and then for those on call: what there is, what of it is used, what waits. */
public final class FleetSummary {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSummary.class);
    private static final long INTERVAL_MICROS = 10_000_000;

    /** CPUs of one kind of machine, in thousandths. */
    private static final class CpuUse {
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

    /** Sums up these machines and jobs. */
    public FleetSummary(Fleet fleet, ActiveJobs jobs) {
        this.fleet = fleet;
        this.jobs = jobs;
    }

    /**
     * Writes the line unless it was written lately.
     *
     * @param booting how many machines were launched and have sent no heartbeat yet
     */
    public void logIfDue(int booting, long nowMicros) {
        if (nowMicros < dueMicros) {
            return;
        }
        dueMicros = nowMicros + INTERVAL_MICROS;
        CpuUse fullPrice = new CpuUse();
        CpuUse spot = new CpuUse();
        int idle = 0;
        for (Machine machine : fleet.machines()) {
            MachineType type = machine.type();
            if (type != null) {
                (machine.isSpot() ? spot : fullPrice).add(machine, type);
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
                "fleet: {} machines ({} idle, {} on their way), CPUs used {} and spot {}; tasks {} running, {} "
                        + "waiting, {} jobs",
                fleet.machines().size(),
                idle,
                booting,
                fullPrice,
                spot,
                running,
                waiting,
                jobs.all().size());
    }
}
