package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ResourceUsage;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * The tasks to stop on one machine so that at least one task of the preempting job fits there.
 *
 * @param victims the tasks to stop
 * @param cost what stopping them costs, in the unit of {@link PreemptionCost}
 * @param slots how many tasks of the preempting job fit once the victims have stopped
 */
record Preemption(Machine machine, List<Placement> victims, double cost, int slots) {

    /**
     * Selects the candidates that cost least to stop until one task of the job fits.
     *
     * @param candidates the tasks that can be stopped; this method sorts the list by cost
     * @param freed the resources that stopping tasks free on the machine in any case; the victims are added to it
     * @return null if the task does not fit even once all candidates have stopped
     */
    static @Nullable Preemption cheapest(
            JobSpec spec, Machine machine, List<Placement> candidates, ResourceUsage freed, long nowMicros) {
        candidates.sort(Comparator.comparingDouble(placement -> PreemptionCost.ofStopping(placement, nowMicros)));
        List<Placement> victims = new ArrayList<>();
        double cost = PreemptionCost.ofFetchingImage(machine, spec);
        for (Placement placement : candidates) {
            victims.add(placement);
            cost += PreemptionCost.ofStopping(placement, nowMicros);
            freed.add(placement.job().spec());
            int slots = freed.slotsIfFreed(machine.capacity(), spec);
            if (slots > 0) {
                return new Preemption(machine, victims, cost, slots);
            }
        }
        return null;
    }

    /** Returns whether a victim belongs to a gang, whose tasks on other machines then end too. */
    boolean stopsGang() {
        return victims.stream().anyMatch(victim -> victim.job().spec().isGang());
    }
}
