package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;

/** Plans machines for gangs, either for all tasks of a gang or for none. */
final class GangPlan {
    private final ScaleOutPlan.Inputs inputs;
    private final PlannedCapacity plannedCapacity;
    private final OfferMarket market;

    /** Creates a gang plan that adds nothing until {@link #plan} is called. */
    GangPlan(ScaleOutPlan.Inputs inputs, PlannedCapacity plannedCapacity, OfferMarket market) {
        this.inputs = inputs;
        this.plannedCapacity = plannedCapacity;
        this.market = market;
    }

    /**
     * Plans machines for a gang. If its tasks must run in one zone, the plan tries the zones in the order of their free
     * and pending capacity, the most first, until a zone offers all machines that the gang lacks.
     */
    void plan(ActiveJob job) {
        JobSpec spec = job.spec();
        if (!spec.oneZone() || spec.zone() != null) {
            planInZones(job, ZoneFilter.ANY_ZONE);
            return;
        }
        List<String> zones = new ArrayList<>(inputs.config().topology().zones());
        zones.removeIf(zone -> market.isPartitioned(zone) || !job.canPlaceInZone(zone));
        zones.sort(Comparator.comparingInt((String zone) -> slots(spec, ZoneFilter.only(zone)))
                .reversed());
        for (String zone : zones) {
            if (planInZones(job, ZoneFilter.only(zone))) {
                return;
            }
        }
    }

    /** Returns how many tasks of the job fit the free and the pending capacity in these zones. */
    private int slots(JobSpec spec, ZoneFilter zones) {
        return freeSlots(spec, zones) + pendingSlots(spec, zones);
    }

    private int freeSlots(JobSpec spec, ZoneFilter zones) {
        int slots = 0;
        for (Machine machine : inputs.fleet().machines()) {
            boolean usable = machine.isSchedulable()
                    && machine.isAllowedFor(spec)
                    && zones.includes(machine.zone())
                    && (machine.reservedFor() == null
                            || machine.reservedFor().spec().equals(spec));
            slots += usable ? machine.capacity().slots(spec, 0, 0, 0) : 0;
        }
        return slots;
    }

    private int pendingSlots(JobSpec spec, ZoneFilter zones) {
        int slots = 0;
        for (PlannedMachine machine : plannedCapacity.machines()) {
            slots += zones.includes(machine.zone()) ? machine.slots(spec) : 0;
        }
        return slots;
    }

    /**
     * Plans the machines that the gang lacks in these zones, up to the maximum number of new machines in a plan.
     * Returns false and plans none if the zones do not offer them all.
     */
    private boolean planInZones(ActiveJob job, ZoneFilter zones) {
        JobSpec spec = job.spec();
        int left = job.waitingTasks() - freeSlots(spec, zones);
        List<PlannedMachine> reserved = new ArrayList<>();
        for (PlannedMachine machine : plannedCapacity.machines()) {
            while (left > 0 && zones.includes(machine.zone()) && machine.reserve(spec)) {
                reserved.add(machine);
                left--;
            }
        }
        List<Offer> offers = new ArrayList<>();
        while (left > 0 && plannedCapacity.canPlanNewMachine(offers.size())) {
            Offer offer = market.cheapestOffer(OfferRequest.atAnyPrice(job, left, zones));
            if (offer == null) {
                reserved.forEach(machine -> machine.unreserve(spec));
                return false;
            }
            left -= offer.type().slots(spec);
            offers.add(offer);
        }
        offers.forEach(this::addNewMachine);
        return true;
    }

    private void addNewMachine(Offer offer) {
        JobSpec spec = offer.job().spec();
        plannedCapacity.countNewMachineAttempt();
        PlannedMachine machine = PlannedMachine.of(offer);
        for (int task = 0; task < spec.tasks(); task++) {
            machine.reserve(spec);
        }
        plannedCapacity.addNew(machine, offer);
    }
}
