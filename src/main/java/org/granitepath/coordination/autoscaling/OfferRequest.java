package org.granitepath.coordination.autoscaling;

import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.placement.ZoneFilter;

/**
 * Requirements on one machine to be launched.
 *
 * @param job the job for which the machine is launched
 * @param allowsOnDemand whether the machine may be an on-demand machine; if not, it must be a spot instance
 * @param tasks how many tasks wait that could share the machine
 * @param tasksByZone how many tasks of the job each zone has according to the plan so far
 * @param zones the zones in which the plan allows the machine; the job may restrict them further
 */
record OfferRequest(
        ActiveJob job, boolean allowsOnDemand, int tasks, Map<String, Integer> tasksByZone, ZoneFilter zones) {
    /** Returns a request for a spot or on-demand machine in these zones, regardless of the tasks in each zone. */
    static OfferRequest atAnyPrice(ActiveJob job, int tasks, ZoneFilter zones) {
        return new OfferRequest(job, true, tasks, Map.of(), zones);
    }

    /** Returns how many tasks of the job this zone has according to the plan so far. */
    int taskCountIn(String zone) {
        return tasksByZone.getOrDefault(zone, 0);
    }

    /** Returns whether the request allows a machine in this zone. */
    boolean allowsZone(String zone) {
        return job.spec().isZoneAllowed(zone)
                && zones.includes(zone)
                && taskCountIn(zone) < job.spec().maxTasksPerZone();
    }

    /** Returns whether the request allows a spot instance, or an on-demand machine if {@code spot} is false. */
    boolean allowsPricing(boolean spot) {
        return spot ? job.spec().spotAllowed() : allowsOnDemand;
    }
}
