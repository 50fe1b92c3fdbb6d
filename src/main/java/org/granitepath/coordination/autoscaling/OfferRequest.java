package org.granitepath.coordination.autoscaling;

import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;

/**
 * A request for one machine.
 *
 * @param fullPrice whether it may be one at full price, rather than a spot instance only
 * @param tasks how many tasks wait for capacity of the kind
 * @param tasksByZone how many tasks of the job each zone has by the plan so far
 * @param onlyZone the zone that it has to be in; null: any
 */
record OfferRequest(ActiveJob job, boolean fullPrice, int tasks, Map<String, Integer> tasksByZone, String onlyZone) {
    /** A request for a machine in a zone (null: in any), at any price, whatever tasks the zones have already. */
    static OfferRequest atAnyPrice(ActiveJob job, int tasks, String onlyZone) {
        return new OfferRequest(job, true, tasks, Map.of(), onlyZone);
    }

    /** How many tasks of the job this zone has by the plan so far. */
    int tasksIn(String zone) {
        return tasksByZone.getOrDefault(zone, 0);
    }

    /** Whether a machine in this zone serves the request. */
    boolean allowsZone(String zone) {
        return job.spec().allowsZone(zone)
                && (onlyZone == null || onlyZone.equals(zone))
                && tasksIn(zone) < job.spec().zoneCap();
    }

    /** Whether a machine at this kind of price serves the request. */
    boolean allowsPrice(boolean spot) {
        return spot ? job.spec().spot() : fullPrice;
    }
}
