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
 * What to stop on one machine so that at least one more task fits there.
 *
 * @param cost see {@link PreemptionCost}
 * @param slots how many tasks fit then
 */
record Preemption(Machine machine, List<Placement> victims, double cost, int slots) {

    /**
     * Takes the candidates that cost least until one task of the job fits.
     *
     * @param candidates what may be stopped; they are sorted by cost
     * @param freed what is being freed on the machine anyway; the victims are added to it
     * @return null if the task does not even fit once all candidates are stopped
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

    /** Whether it stops a gang, whose other tasks then end on other machines. */
    boolean stopsGang() {
        return victims.stream().anyMatch(victim -> victim.job().spec().gang());
    }
}
