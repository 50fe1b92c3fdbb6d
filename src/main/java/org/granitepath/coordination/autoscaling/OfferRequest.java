package org.granitepath.coordination.autoscaling;

import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.placement.ZoneFilter;

/**
 * A request for one machine.
 *
 * @param fullPrice whether it may be one at full price, rather than a spot instance only
 * @param tasks how many tasks wait for capacity of the kind
 * @param tasksByZone how many tasks of the job each zone has by the plan so far
 * @param zones where it may stand, as far as the plan is concerned
 */
record OfferRequest(ActiveJob job, boolean fullPrice, int tasks, Map<String, Integer> tasksByZone, ZoneFilter zones) {
    /** A request for a machine in these zones, at any price, whatever tasks the zones have already. */
    static OfferRequest atAnyPrice(ActiveJob job, int tasks, ZoneFilter zones) {
        return new OfferRequest(job, true, tasks, Map.of(), zones);
    }

    /** How many tasks of the job this zone has by the plan so far. */
    int tasksIn(String zone) {
        return tasksByZone.getOrDefault(zone, 0);
    }

    /** Whether a machine in this zone serves the request. */
    boolean allowsZone(String zone) {
        return job.spec().allowsZone(zone)
                && zones.includes(zone)
                && tasksIn(zone) < job.spec().zoneCap();
    }

    /** Whether a machine at this kind of price serves the request. */
    boolean allowsPrice(boolean spot) {
        return spot ? job.spec().spot() : fullPrice;
    }
}
