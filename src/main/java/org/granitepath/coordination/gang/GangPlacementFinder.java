package org.granitepath.coordination.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** Finds machines for all tasks of a gang at once. */
final class GangPlacementFinder {
    private final GangConstraints constraints;
    private final PlacementRules rules;
    private final MachineScorer machineScorer;

    GangPlacementFinder(GangConstraints constraints, PlacementRules rules, MachineScorer machineScorer) {
        this.constraints = constraints;
        this.rules = rules;
        this.machineScorer = machineScorer;
    }

    /**
     * Returns the placement with the fewest image fetches among the zones to try, or null if the gang fits in none of
     * them.
     *
     * @param machinesWithCapacity the machines that accepted tasks and had free capacity when the cycle began
     */
    @Nullable
    GangPlacement find(ActiveJob job, List<Machine> machinesWithCapacity, long nowMicros) {
        GangPlacement best = null;
        for (ZoneFilter zones : constraints.zonesToTry(job.spec())) {
            GangPlacement placement = findIn(zones, job, machinesWithCapacity, nowMicros);
            if (placement != null && (best == null || placement.imageFetches() < best.imageFetches())) {
                best = placement;
            }
        }
        return best;
    }

    private @Nullable GangPlacement findIn(
            ZoneFilter zones, ActiveJob job, List<Machine> machinesWithCapacity, long nowMicros) {
        JobSpec spec = job.spec();
        List<Machine> candidates = new ArrayList<>();
        int slots = 0;
        for (Machine machine : machinesWithCapacity) {
            if (zones.includes(machine.zone())
                    && rules.respectsReservation(machine, job)
                    && rules.satisfiesConstraints(machine, job, nowMicros)) {
                candidates.add(machine);
                slots += constraints.slots(machine, spec);
            }
        }
        if (slots < spec.tasks()) {
            return null;
        }
        candidates.sort(Comparator.comparingDouble((Machine machine) -> machineScorer.score(machine, spec))
                .reversed());
        return fill(candidates, spec);
    }

    /** Fills one machine after the other, up to the job's limit for each zone. Returns null if not all tasks fit. */
    private @Nullable GangPlacement fill(List<Machine> candidates, JobSpec spec) {
        List<Machine> chosen = new ArrayList<>();
        Map<String, Integer> tasksByZone = new HashMap<>();
        int imageFetches = 0;
        for (Machine machine : candidates) {
            int slots = constraints.slots(machine, spec);
            for (int slot = 0; slot < slots && chosen.size() < spec.tasks(); slot++) {
                if (tasksByZone.merge(machine.zone(), 1, Integer::sum) > spec.maxTasksPerZone()) {
                    break;
                }
                chosen.add(machine);
                imageFetches += machine.capacity().hasImage(spec.image()) ? 0 : 1;
            }
        }
        return chosen.size() == spec.tasks() ? new GangPlacement(chosen, imageFetches) : null;
    }
}
