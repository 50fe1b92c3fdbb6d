package org.granitepath.coordination.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;

/**
 * Finds the machines to reserve for a gang that does not fit yet: the set that will hold most of its tasks. Among equal
 * sets, it prefers the one on which most of the tasks fit now.
 */
final class ReservationFinder {
    /** Maximum share of all machines that is reserved at a time, so that gangs do not starve other jobs. */
    private static final double MAX_RESERVED_SHARE = 0.34;

    private static final Reservation NONE = new Reservation(List.of(), 0, -1);

    /**
     * A set of machines that can be reserved for a gang.
     *
     * @param slots how many of the gang's tasks the machines will hold once their batch tasks have ended
     * @param slotsFreeNow how many of the gang's tasks fit on them now
     */
    private record Reservation(List<Machine> machines, int slots, int slotsFreeNow) {
        boolean isBetterThan(Reservation other) {
            return slots != other.slots ? slots > other.slots : slotsFreeNow > other.slotsFreeNow;
        }
    }

    private final Fleet fleet;
    private final PlacementRules rules;
    private final GangConstraints constraints;

    ReservationFinder(Fleet fleet, PlacementRules rules, GangConstraints constraints) {
        this.fleet = fleet;
        this.rules = rules;
        this.constraints = constraints;
    }

    /** Returns the machines to reserve for this gang; empty if too many are reserved for others already. */
    List<Machine> machinesFor(ActiveJob job, long nowMicros) {
        int reservableMachines = reservableMachines(job);
        Reservation best = NONE;
        for (ZoneFilter zones : constraints.zonesToTry(job.spec())) {
            Reservation candidate = candidateIn(zones, job, nowMicros);
            if (candidate.machines().size() <= reservableMachines && candidate.isBetterThan(best)) {
                best = candidate;
            }
        }
        return best.machines();
    }

    /** Returns how many machines can be reserved for this job, given those that are reserved for others. */
    private int reservableMachines(ActiveJob job) {
        int reservable = (int) (MAX_RESERVED_SHARE * fleet.machines().size());
        for (Machine machine : fleet.machines()) {
            reservable -= machine.reservedFor() == null || machine.reservedFor() == job ? 0 : 1;
        }
        return reservable;
    }

    /**
     * Returns the machines of the included zones that will hold the gang or, until more machines are launched, a part
     * of it. Machines that are reserved for the gang already come first, then those with the most free slots.
     */
    private Reservation candidateIn(ZoneFilter zones, ActiveJob job, long nowMicros) {
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (isReservable(machine, zones, job, nowMicros)) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparing((Machine machine) -> machine.reservedFor() != job)
                .thenComparing(machine -> -constraints.slots(machine, job.spec())));
        return firstThatHold(candidates, job.spec());
    }

    private boolean isReservable(Machine machine, ZoneFilter zones, ActiveJob job, long nowMicros) {
        return zones.includes(machine.zone())
                && rules.respectsReservation(machine, job)
                && rules.isEligible(machine, job, nowMicros);
    }

    /**
     * Returns as many of the first machines as will hold the whole gang, or all machines that hold at least one task.
     */
    private Reservation firstThatHold(List<Machine> candidates, JobSpec spec) {
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
