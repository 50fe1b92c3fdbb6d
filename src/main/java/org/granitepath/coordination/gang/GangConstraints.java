package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;

/** Decides in which zones a gang can be placed, and how many of its tasks on each machine. */
final class GangConstraints {
    private static final List<ZoneFilter> ANY_ZONE = List.of(ZoneFilter.ANY_ZONE);

    private final List<ZoneFilter> eachZone;
    private final PlacementRules rules;

    GangConstraints(List<String> zones, PlacementRules rules) {
        this.eachZone = zones.stream().map(ZoneFilter::only).toList();
        this.rules = rules;
    }

    /** Returns the zone filters to try in turn for the whole gang: one for each zone if all tasks must share a zone. */
    List<ZoneFilter> zonesToTry(JobSpec spec) {
        return mustChooseZone(spec) ? eachZone : ANY_ZONE;
    }

    /** Returns whether a zone must be chosen for the gang. A gang that names its zone leaves no choice. */
    private static boolean mustChooseZone(JobSpec spec) {
        return spec.oneZone() && spec.zone() == null;
    }

    /**
     * Returns how many tasks fit on the machine now; at most one on a suspect machine, which gets one task at a time.
     */
    int slots(Machine machine, JobSpec spec) {
        int slots = machine.capacity().slots(spec, 0, 0, 0);
        return rules.isSuspect(machine) ? Math.min(1, slots) : slots;
    }
}
