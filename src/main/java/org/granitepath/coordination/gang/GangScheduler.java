package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.Micros;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts gangs: all tasks of a gang or none. Before a start, it finds capacity for the whole gang, in one zone if the
 * job requires that, and within the team's limit. For a gang that does not fit, it reserves machines for a bounded
 * time. For a gang that lost tasks before it started to run, it restarts these tasks under the same attempt or stops
 * the gang.
 */
public final class GangScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);

    private final PlacementRules rules;
    private final TaskLifecycle tasks;
    private final GangPlacementFinder placementFinder;
    private final GangReservations reservations;
    private final LostTaskRestarter lostTaskRestarter;

    /** Creates a scheduler of gangs on the machines of this fleet. */
    public GangScheduler(
            Config config, Fleet fleet, PlacementRules rules, TaskLifecycle tasks, MachineScorer machineScorer) {
        this.rules = rules;
        this.tasks = tasks;
        GangConstraints constraints = new GangConstraints(config.topology().zones(), rules);
        this.placementFinder = new GangPlacementFinder(constraints, rules, machineScorer);
        this.reservations = new GangReservations(config, fleet, new ReservationFinder(fleet, rules, constraints));
        this.lostTaskRestarter = new LostTaskRestarter(config, rules, tasks, machineScorer);
    }

    /**
     * Releases the machines that are reserved for gangs that no longer wait for them or whose reservation has lasted
     * for its maximum time. Must be called at the start of each cycle.
     */
    public void releaseEndedReservations(long nowMicros) {
        reservations.releaseEnded(nowMicros);
    }

    /**
     * Starts the gang, restarts the tasks that it lost before it ran, or reserves machines for it if it does not fit.
     *
     * @param machinesWithCapacity the machines that accepted tasks and had free capacity when the cycle began
     */
    public void schedule(ActiveJob job, List<Machine> machinesWithCapacity, long nowMicros) {
        GangAttempt attempt = job.gangAttempt();
        if (attempt != null) {
            lostTaskRestarter.restartOrStop(job, attempt, machinesWithCapacity, nowMicros);
        } else if (job.runningTasks() == 0 && job.claimedTasks() >= job.spec().tasks()) {
            startOrReserve(job, machinesWithCapacity, nowMicros);
        }
    }

    private void startOrReserve(ActiveJob job, List<Machine> machinesWithCapacity, long nowMicros) {
        if (!rules.isWithinTeamLimit(job.spec(), job.spec().tasks())) {
            return;
        }
        GangPlacement placement = placementFinder.find(job, machinesWithCapacity, nowMicros);
        if (placement == null) {
            reservations.reserve(job, nowMicros);
        } else {
            start(job, placement, nowMicros);
        }
    }

    private void start(ActiveJob job, GangPlacement placement, long nowMicros) {
        LOG.info(
                "job {} of class {}: starting gang of {} tasks after a wait of {} ms, {} tasks must fetch their image",
                job.spec().id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                (nowMicros - job.scheduling().waitingSinceMicros()) / Micros.PER_MILLI,
                placement.imageFetches());
        job.scheduling().endReservation();
        tasks.startGang(job, placement.machines(), nowMicros);
    }
}
