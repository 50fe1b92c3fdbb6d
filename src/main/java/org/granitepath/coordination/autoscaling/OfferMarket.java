package org.granitepath.coordination.autoscaling;

import java.util.function.Predicate;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** What the cloud offers at present, as far as is known, and the cheapest of it for a job. */
final class OfferMarket {
    private final ScaleOutPlan.Inputs demand;
    private final PlannedCapacity planned;
    private final Predicate<String> refused;
    private final Predicate<String> cutOff;
    private final long nowMicros;

    /**
     * The offers as they are now.
     *
     * @param refused keys of offers of which the cloud lately had none
     * @param cutOff zones from which no heartbeat would arrive
     */
    OfferMarket(
            ScaleOutPlan.Inputs demand,
            PlannedCapacity planned,
            Predicate<String> refused,
            Predicate<String> cutOff,
            long nowMicros) {
        this.demand = demand;
        this.planned = planned;
        this.refused = refused;
        this.cutOff = cutOff;
        this.nowMicros = nowMicros;
    }

    /** Whether no heartbeat would arrive from this zone at present. */
    boolean isCutOff(String zone) {
        return cutOff.test(zone);
    }

    /** Whether the cloud is likely to have a machine of this kind, whose heartbeats would arrive. */
    boolean has(Offer offer) {
        return !cutOff.test(offer.zone()) && !refused.test(offer.key());
    }

    /** The offer with the lowest cost for each task, from launch to the task's end; null: there is none. */
    @Nullable
    Offer cheapest(OfferRequest request) {
        Search search = new Search(request, costFor(request.job()));
        for (MachineType type : demand.fleet().types().values()) {
            if (type.fits(request.job().spec())) {
                search.considerType(type);
            }
        }
        return search.best;
    }

    private OfferCost costFor(ActiveJob job) {
        JobSpec spec = job.spec();
        long ageMicros = spec.hasDeadline() ? demand.jobs().ageMicros(job, nowMicros) : 0;
        return spec.service()
                ? OfferCost.ofService(spec, ageMicros)
                : OfferCost.of(spec, demand.runtimeEstimator().expectedTaskMicros(job), ageMicros);
    }

    /** One search for the cheapest offer; the first among equals wins. */
    private final class Search {
        private final OfferRequest request;
        private final OfferCost costModel;
        private @Nullable Offer best;
        private double bestCost = Double.POSITIVE_INFINITY;

        Search(OfferRequest request, OfferCost costModel) {
            this.request = request;
            this.costModel = costModel;
        }

        void considerType(MachineType type) {
            int tasks = Math.min(type.slots(request.job().spec()), request.tasks());
            long readyMicros = costModel.readyMicros(type);
            for (String zone : type.zones()) {
                if (request.allowsZone(zone) && !cutOff.test(zone)) {
                    consider(new Offer(type, zone, true, request.job()), tasks, readyMicros);
                    consider(new Offer(type, zone, false, request.job()), tasks, readyMicros);
                }
            }
        }

        private void consider(Offer offer, int tasks, long readyMicros) {
            if (!request.allowsPrice(offer.spot())
                    || refused.test(offer.key())
                    || costModel.latenessMakesItWait(readyMicros, offer.spot())) {
                return;
            }
            double cost = costModel.perTask(
                    offer.type(),
                    offer.spot(),
                    tasks,
                    readyMicros,
                    planned.launchCount(offer),
                    request.tasksIn(offer.zone()));
            if (cost < bestCost) {
                bestCost = cost;
                best = offer;
            }
        }
    }
}
