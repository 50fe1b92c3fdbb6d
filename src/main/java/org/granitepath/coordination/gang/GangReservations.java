package org.granitepath.coordination.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reserves machines for gangs that do not fit yet, for a bounded time. */
final class GangReservations {
    private static final Logger LOG = LoggerFactory.getLogger(GangReservations.class);
    /** At most this share of the machines is reserved at a time, so that gangs do not starve other work. */
    private static final double MAX_RESERVED_SHARE = 0.34;

    private static final Reservation NONE = new Reservation(List.of(), 0, -1);

    /**
     * Machines that could be reserved for a gang.
     *
     * @param slots how many of its tasks they will hold once batch work there has ended
     * @param slotsFreeNow how many tasks they hold now
     */
    private record Reservation(List<Machine> machines, int slots, int slotsFreeNow) {
        boolean isBetterThan(Reservation other) {
            return slots != other.slots ? slots > other.slots : slotsFreeNow > other.slotsFreeNow;
        }
    }

    private final Config config;
    private final Fleet fleet;
    private final PlacementRules rules;
    private final GangConstraints constraints;

    GangReservations(Config config, Fleet fleet, PlacementRules rules, GangConstraints constraints) {
        this.config = config;
        this.fleet = fleet;
        this.rules = rules;
        this.constraints = constraints;
    }

    /** Releases the machines reserved for gangs that no longer wait for them. */
    void releaseEnded(long nowMicros) {
        for (Machine machine : fleet.machines()) {
            ActiveJob job = machine.reservedFor();
            if (job != null && (job.waitingTasks() <= 0 || job.gangAttempt() != null || hasEnded(job, nowMicros))) {
                machine.endReservation();
            }
        }
    }

    private boolean hasEnded(ActiveJob job, long nowMicros) {
        return !job.scheduling().holdsReservation()
                || nowMicros - job.scheduling().reservedSinceMicros() > maxDurationMicros(job);
    }

    /** Machines launched for the gang come one after the other: the first must still be there when the last one is. */
    private long maxDurationMicros(ActiveJob job) {
        long longestBootMicros = fleet.types().values().stream()
                .filter(type -> type.fits(job.spec()))
                .mapToLong(MachineType::bootMicros)
                .max()
                .orElse(0);
        return config.tuning().gangHoldMicros() + longestBootMicros;
    }

    /**
     * Reserves machines for a gang that does not fit, in the zone that will hold most of it. When the time for this is
     * over, none is reserved for it for a while, so that other work has its turn.
     */
    void reserve(ActiveJob job, long nowMicros) {
        if (nowMicros < job.scheduling().noReservationUntilMicros()) {
            return;
        }
        if (!job.scheduling().holdsReservation()) {
            job.scheduling().reservationBegins(nowMicros);
        } else if (hasEnded(job, nowMicros)) {
            end(job, nowMicros);
            return;
        }
        Reservation best = best(job, nowMicros);
        fleet.machines().forEach(machine -> machine.endReservationFor(job));
        best.machines().forEach(machine -> machine.reserveFor(job));
    }

    private void end(ActiveJob job, long nowMicros) {
        LOG.debug(
                "job {}: its reservation ends, the gang does not fit",
                job.spec().id());
        job.scheduling().reservationEnds();
        job.scheduling().reserveNothingUntil(nowMicros + config.tuning().gangHoldMicros());
        fleet.machines().forEach(machine -> machine.endReservationFor(job));
    }

    private Reservation best(ActiveJob job, long nowMicros) {
        int reservableMachines = reservableMachines(job);
        Reservation best = NONE;
        for (ZoneFilter zones : constraints.zonesToTry(job.spec())) {
            Reservation candidate = candidateIn(zones, job, nowMicros);
            if (candidate.machines().size() <= reservableMachines && candidate.isBetterThan(best)) {
                best = candidate;
            }
        }
        return best;
    }

    /** How many machines may be reserved for this job, given what is reserved for others. */
    private int reservableMachines(ActiveJob job) {
        int reservable = (int) (MAX_RESERVED_SHARE * fleet.machines().size());
        for (Machine machine : fleet.machines()) {
            reservable -= machine.reservedFor() == null || machine.reservedFor() == job ? 0 : 1;
        }
        return reservable;
    }

    /**
     * The machines of a zone that will hold the gang or, while others are launched, a part of it; those that it has
     * reserved already first, then those with the most capacity.
     */
    private Reservation candidateIn(ZoneFilter zones, ActiveJob job, long nowMicros) {
        JobSpec spec = job.spec();
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (zones.includes(machine.zone())
                    && rules.respectsReservation(machine, job)
                    && rules.isEligible(machine, job, nowMicros)) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparing((Machine machine) -> machine.reservedFor() != job)
                .thenComparing(machine -> -constraints.slots(machine, spec)));
        List<Machine> chosen = new ArrayList<>();
        int slots = 0;
        int slotsFreeNow = 0;
        for (Machine machine : candidates) {
            if (slots >= spec.tasks()) {
                break;
            }
            int slotsBesideServices = machine.slotsBesideServices(spec);
            if (slotsBesideServices > 0) {
                chosen.add(machine);
                slots += slotsBesideServices;
                slotsFreeNow += constraints.slots(machine, spec);
            }
        }
        return new Reservation(chosen, Math.min(slots, spec.tasks()), slotsFreeNow);
    }
}
