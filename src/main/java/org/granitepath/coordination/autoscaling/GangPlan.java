package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;

/** Plans machines for gangs: for a whole one, or none. */
final class GangPlan {
    private final ScaleOutPlan.Inputs demand;
    private final PlannedCapacity planned;
    private final OfferMarket market;

    /** Plans nothing before it is told to. */
    GangPlan(ScaleOutPlan.Inputs demand, PlannedCapacity planned, OfferMarket market) {
        this.demand = demand;
        this.planned = planned;
        this.market = market;
    }

    /**
     * Plans machines for a gang: where its tasks have to stand together, in the zone where most capacity is free or on
     * its way, as long as machines are to be had there.
     */
    void plan(ActiveJob job) {
        JobSpec spec = job.spec();
        if (!spec.oneZone() || spec.zone() != null) {
            planWhole(job, ZoneFilter.ANY_ZONE);
            return;
        }
        List<String> zones = new ArrayList<>(demand.config().topology().zones());
        zones.removeIf(zone -> market.isCutOff(zone) || !job.canPlaceInZone(zone));
        zones.sort(Comparator.comparingInt((String zone) -> slots(spec, ZoneFilter.only(zone)))
                .reversed());
        for (String zone : zones) {
            if (planWhole(job, ZoneFilter.only(zone))) {
                return;
            }
        }
    }

    /** How many such tasks fit on what is free or on its way there. */
    private int slots(JobSpec spec, ZoneFilter zones) {
        return freeSlots(spec, zones) + pendingSlots(spec, zones);
    }

    private int freeSlots(JobSpec spec, ZoneFilter zones) {
        int slots = 0;
        for (Machine machine : demand.fleet().machines()) {
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
        for (PlannedMachine machine : planned.machines()) {
            slots += zones.includes(machine.zone()) ? machine.slots(spec) : 0;
        }
        return slots;
    }

    /** Plans what this gang lacks in these zones; false when so much is not to be had there. */
    private boolean planWhole(ActiveJob job, ZoneFilter zones) {
        JobSpec spec = job.spec();
        int left = job.waitingTasks() - freeSlots(spec, zones);
        List<PlannedMachine> used = new ArrayList<>();
        for (PlannedMachine machine : planned.machines()) {
            while (left > 0 && zones.includes(machine.zone()) && machine.take(spec)) {
                used.add(machine);
                left--;
            }
        }
        List<Offer> launches = new ArrayList<>();
        while (left > 0 && planned.mayConsiderMore(launches.size())) {
            Offer offer = market.cheapest(OfferRequest.atAnyPrice(job, left, zones));
            if (offer == null) {
                used.forEach(machine -> machine.undoTake(spec));
                return false;
            }
            left -= offer.type().slots(spec);
            launches.add(offer);
        }
        launches.forEach(this::addNew);
        return true;
    }

    private void addNew(Offer offer) {
        JobSpec spec = offer.job().spec();
        planned.countConsidered();
        PlannedMachine machine = PlannedMachine.of(offer);
        for (int task = 0; task < spec.tasks(); task++) {
            machine.take(spec);
        }
        planned.addNew(machine, offer);
    }
}
