package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reserves machines for gangs that do not fit yet, for a bounded time. */
final class GangReservations {
    private static final Logger LOG = LoggerFactory.getLogger(GangReservations.class);

    private final Config config;
    private final Fleet fleet;
    private final ReservationFinder finder;

    GangReservations(Config config, Fleet fleet, ReservationFinder finder) {
        this.config = config;
        this.fleet = fleet;
        this.finder = finder;
    }

    /** Releases the machines that are reserved for gangs that no longer wait for them or whose time is over. */
    void releaseEnded(long nowMicros) {
        for (Machine machine : fleet.machines()) {
            ActiveJob job = machine.reservedFor();
            if (job != null && (job.waitingTasks() <= 0 || job.gangAttempt() != null || hasEnded(job, nowMicros))) {
                machine.endReservation();
            }
        }
    }

    private boolean hasEnded(ActiveJob job, long nowMicros) {
        return !job.scheduling().hasReservation()
                || nowMicros - job.scheduling().reservedSinceMicros() > maxDurationMicros(job);
    }

    /**
     * Returns how many microseconds a reservation for the job can last. Machines that are launched for a gang become
     * ready one after the other, and the first must still be reserved when the last is ready.
     */
    private long maxDurationMicros(ActiveJob job) {
        long longestBootMicros = fleet.types().values().stream()
                .filter(type -> type.canFit(job.spec()))
                .mapToLong(MachineType::bootMicros)
                .max()
                .orElse(0);
        return config.tuning().gangHoldMicros() + longestBootMicros;
    }

    /**
     * Reserves machines for a gang that does not fit, in the zone that will hold most of its tasks. When the
     * reservation has lasted for its maximum time, it ends and no machine is reserved for the gang for {@code
     * gangHoldMicros}, so that other work can use the capacity.
     */
    void reserve(ActiveJob job, long nowMicros) {
        if (nowMicros < job.scheduling().reservationBlockedUntilMicros()) {
            return;
        }
        if (!job.scheduling().hasReservation()) {
            job.scheduling().beginReservation(nowMicros);
        } else if (hasEnded(job, nowMicros)) {
            end(job, nowMicros);
            return;
        }
        List<Machine> machines = finder.machinesFor(job, nowMicros);
        fleet.machines().forEach(machine -> machine.endReservationFor(job));
        machines.forEach(machine -> machine.reserveFor(job));
    }

    private void end(ActiveJob job, long nowMicros) {
        LOG.debug(
                "job {}: ending the reservation of machines, the gang still does not fit",
                job.spec().id());
        job.scheduling().endReservation();
        job.scheduling().blockReservationUntil(nowMicros + config.tuning().gangHoldMicros());
        fleet.machines().forEach(machine -> machine.endReservationFor(job));
    }
}
