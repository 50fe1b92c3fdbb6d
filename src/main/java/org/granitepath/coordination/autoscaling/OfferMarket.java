package org.granitepath.coordination.autoscaling;

import java.util.function.Predicate;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** The offers that the cloud has at present, as far as is known, and the search for the cheapest one for a job. */
final class OfferMarket {
    private final ScaleOutPlan.Inputs inputs;
    private final PlannedCapacity plannedCapacity;
    private final Predicate<String> unavailable;
    private final Predicate<String> partitioned;
    private final long nowMicros;

    /**
     * Creates a view of the present offers.
     *
     * @param plannedCapacity the plan so far; each launch in it slightly raises the cost of the same offer
     * @param unavailable accepts the keys of the offers for which the cloud recently had no capacity
     * @param partitioned accepts the zones from which no heartbeat would arrive
     */
    OfferMarket(
            ScaleOutPlan.Inputs inputs,
            PlannedCapacity plannedCapacity,
            Predicate<String> unavailable,
            Predicate<String> partitioned,
            long nowMicros) {
        this.inputs = inputs;
        this.plannedCapacity = plannedCapacity;
        this.unavailable = unavailable;
        this.partitioned = partitioned;
        this.nowMicros = nowMicros;
    }

    /** Returns whether no heartbeat would arrive from this zone at present. */
    boolean isPartitioned(String zone) {
        return partitioned.test(zone);
    }

    /** Returns whether the cloud is likely to have a machine of this kind and the machine's heartbeats would arrive. */
    boolean isAvailable(Offer offer) {
        return !partitioned.test(offer.zone()) && !unavailable.test(offer.key());
    }

    /**
     * Returns the offer with the lowest cost per task, from the launch of the machine to the end of the task, or null
     * if no offer fits the request.
     */
    @Nullable
    Offer cheapestOffer(OfferRequest request) {
        Search search = new Search(request, costFor(request.job()));
        for (MachineType type : inputs.fleet().types().values()) {
            if (type.canFit(request.job().spec())) {
                search.considerType(type);
            }
        }
        return search.cheapest;
    }

    private OfferCost costFor(ActiveJob job) {
        JobSpec spec = job.spec();
        long ageMicros = spec.hasDeadline() ? inputs.jobs().ageMicros(job, nowMicros) : 0;
        return spec.isService()
                ? OfferCost.forService(spec, ageMicros)
                : OfferCost.forTasks(spec, inputs.runtimeEstimator().expectedTaskMicros(job), ageMicros);
    }

    /** One search for the cheapest offer. Of several offers at the same cost, it finds the first one considered. */
    private final class Search {
        private final OfferRequest request;
        private final OfferCost costModel;
        private @Nullable Offer cheapest;
        private double lowestCost = Double.POSITIVE_INFINITY;

        Search(OfferRequest request, OfferCost costModel) {
            this.request = request;
            this.costModel = costModel;
        }

        void considerType(MachineType type) {
            int tasks = Math.min(type.slots(request.job().spec()), request.tasks());
            long startupMicros = costModel.startupMicros(type);
            for (String zone : type.zones()) {
                if (request.allowsZone(zone) && !partitioned.test(zone)) {
                    consider(new Offer(type, zone, true, request.job()), tasks, startupMicros);
                    consider(new Offer(type, zone, false, request.job()), tasks, startupMicros);
                }
            }
        }

        private void consider(Offer offer, int tasks, long startupMicros) {
            if (!request.allowsPricing(offer.spot())
                    || unavailable.test(offer.key())
                    || costModel.shouldWaitForSpot(startupMicros, offer.spot())) {
                return;
            }
            double cost = costModel.costPerTask(
                    offer.type(),
                    offer.spot(),
                    tasks,
                    startupMicros,
                    plannedCapacity.launchCount(offer),
                    request.taskCountIn(offer.zone()));
            if (cost < lowestCost) {
                lowestCost = cost;
                cheapest = offer;
            }
        }
    }
}
