package org.granitepath.coordination.autoscaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.MachineType;

/**
 * Plans headroom for the live services that arrive while a machine boots: capacity that they can take at once, either
 * free or by preempting work of lower priority. Such work may use the headroom until then. CPU amounts are in
 * thousandths.
 */
final class HeadroomPlan {
    private final ScaleOutPlan.Inputs inputs;
    private final PlannedCapacity plannedCapacity;
    private final OfferMarket market;
    private final long nowMicros;
    private final Map<String, Double> availableCpuMillisByZone = new HashMap<>();
    private double availableCpuMillis;
    private double cpuMillisUsedByServices;
    private double spareCpuMillis = Double.MAX_VALUE;

    /** Creates a headroom plan that adds nothing until {@link #addLaunches} is called. */
    HeadroomPlan(ScaleOutPlan.Inputs inputs, PlannedCapacity plannedCapacity, OfferMarket market, long nowMicros) {
        this.inputs = inputs;
        this.plannedCapacity = plannedCapacity;
        this.market = market;
        this.nowMicros = nowMicros;
    }

    /**
     * Returns the thousandths of a CPU that live services could take beyond the headroom wanted for them; negative if
     * headroom is lacking, and unlimited if no live service has arrived or none of the cloud's offers fits it.
     */
    double spareCpuMillis() {
        return spareCpuMillis;
    }

    /** Adds the launches for the headroom that is lacking. */
    void addLaunches() {
        ActiveJob newest = inputs.arrivalRate().newestJob();
        if (newest == null) {
            return;
        }
        countFleet(newest);
        countPlanned();
        Offer offer = market.cheapestOffer(OfferRequest.atAnyPrice(newest, Integer.MAX_VALUE, ZoneFilter.ANY_ZONE));
        if (offer == null) {
            return;
        }
        MachineType type = offer.type();
        double wantedCpuMillis = wantedCpuMillis(type);
        spareCpuMillis = availableCpuMillis - wantedCpuMillis;
        if (availableCpuMillis < wantedCpuMillis) {
            int count = (int) Math.ceil((wantedCpuMillis - availableCpuMillis) / type.cpuMillis());
            plannedCapacity.addLaunch(inZoneWithLeastHeadroom(offer), count);
        }
    }

    /**
     * Returns the CPU that arriving live services need while a machine of this type boots, limited to a share of what
     * the present services use.
     */
    private double wantedCpuMillis(MachineType type) {
        double arrivingCpuMillis = inputs.arrivalRate().cpuMillisPerMicro(nowMicros) * type.bootMicros();
        double maxCpuMillis = inputs.config().tuning().scaling().maxHeadroomShare() * cpuMillisUsedByServices;
        return Math.min(arrivingCpuMillis, maxCpuMillis);
    }

    private void countFleet(ActiveJob newest) {
        for (Machine machine : inputs.fleet().machines()) {
            if (!machine.isSpot()
                    && machine.type() != null
                    && machine.phase() != Machine.Phase.TERMINATING
                    && machine.type().canFit(newest.spec())) {
                long usedCpuMillis = machine.capacity().serviceCpuMillis();
                cpuMillisUsedByServices += usedCpuMillis;
                countAvailable(machine.zone(), machine.type().cpuMillis() - usedCpuMillis);
            }
        }
    }

    private void countPlanned() {
        for (PlannedMachine machine : plannedCapacity.machines()) {
            if (!machine.isSpot()) {
                countAvailable(machine.zone(), machine.freeCpuMillis());
            }
        }
    }

    private void countAvailable(String zone, long freeCpuMillis) {
        availableCpuMillis += freeCpuMillis;
        availableCpuMillisByZone.merge(zone, (double) freeCpuMillis, Double::sum);
    }

    /**
     * Returns the on-demand offer of the same type in the zone with the least headroom, of the zones where it is
     * available; in the zone of the given offer if it is available in none.
     */
    private Offer inZoneWithLeastHeadroom(Offer offer) {
        String zoneWithLeast = offer.type().zones().stream()
                .filter(zone -> market.isAvailable(new Offer(offer.type(), zone, false, offer.job())))
                .min(Comparator.comparingDouble(zone -> availableCpuMillisByZone.getOrDefault(zone, 0.0)))
                .orElse(offer.zone());
        return new Offer(offer.type(), zoneWithLeast, false, offer.job());
    }
}
