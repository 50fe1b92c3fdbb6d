package org.granitepath.coordination.autoscaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.MachineType;

/**
 * Plans headroom: capacity that live services can take at once, free or by stopping lower work, for as many as arrive
 * while a machine boots. Lower work may use it meanwhile. CPU amounts are in thousandths.
 */
final class HeadroomPlan {
    private final ScaleOutPlan.Inputs demand;
    private final PlannedCapacity planned;
    private final OfferMarket market;
    private final long nowMicros;
    private final Map<String, Double> availableCpuMillisByZone = new HashMap<>();
    private double availableCpuMillis;
    private double servicesCpuMillis;
    private double spareCpuMillis = Double.MAX_VALUE;

    /** Plans nothing before it is told to. */
    HeadroomPlan(ScaleOutPlan.Inputs demand, PlannedCapacity planned, OfferMarket market, long nowMicros) {
        this.demand = demand;
        this.planned = planned;
        this.market = market;
        this.nowMicros = nowMicros;
    }

    /** What live services could take beyond the headroom wanted for them. */
    double spareCpuMillis() {
        return spareCpuMillis;
    }

    /** Adds launches for the headroom that is lacking. */
    void make() {
        ActiveJob newest = demand.arrivalRate().newestJob();
        if (newest == null) {
            return;
        }
        countFleet(newest);
        countPlanned();
        Offer offer = market.cheapest(OfferRequest.atAnyPrice(newest, Integer.MAX_VALUE, ZoneFilter.ANY_ZONE));
        if (offer == null) {
            return;
        }
        MachineType type = offer.type();
        double wantedCpuMillis = wantedCpuMillis(type);
        spareCpuMillis = availableCpuMillis - wantedCpuMillis;
        if (availableCpuMillis < wantedCpuMillis) {
            int count = (int) Math.ceil((wantedCpuMillis - availableCpuMillis) / type.cpuMillis());
            planned.addLaunch(inEmptiestZone(offer), count);
        }
    }

    /** What arrives while a machine of this type boots, up to a share of what the present services use. */
    private double wantedCpuMillis(MachineType type) {
        double arrivingCpuMillis = demand.arrivalRate().cpuMillisPerMicro(nowMicros) * type.bootMicros();
        double mostCpuMillis = demand.config().tuning().scaling().maxHeadroomShare() * servicesCpuMillis;
        return Math.min(arrivingCpuMillis, mostCpuMillis);
    }

    private void countFleet(ActiveJob newest) {
        for (Machine machine : demand.fleet().machines()) {
            if (!machine.isSpot()
                    && machine.type() != null
                    && machine.phase() != Machine.Phase.TERMINATING
                    && machine.type().fits(newest.spec())) {
                long usedCpuMillis = machine.capacity().serviceCpuMillis();
                servicesCpuMillis += usedCpuMillis;
                countAvailable(machine.zone(), machine.type().cpuMillis() - usedCpuMillis);
            }
        }
    }

    private void countPlanned() {
        for (PlannedMachine machine : planned.machines()) {
            if (!machine.spot()) {
                countAvailable(machine.zone(), machine.freeCpuMillis());
            }
        }
    }

    private void countAvailable(String zone, long freeCpuMillis) {
        availableCpuMillis += freeCpuMillis;
        availableCpuMillisByZone.merge(zone, (double) freeCpuMillis, Double::sum);
    }

    /** The offer at full price in the zone with the least such capacity; where it is if no zone has it. */
    private Offer inEmptiestZone(Offer offer) {
        String emptiest = offer.type().zones().stream()
                .filter(zone -> market.has(new Offer(offer.type(), zone, false, offer.job())))
                .min(Comparator.comparingDouble(zone -> availableCpuMillisByZone.getOrDefault(zone, 0.0)))
                .orElse(offer.zone());
        return new Offer(offer.type(), emptiest, false, offer.job());
    }
}
