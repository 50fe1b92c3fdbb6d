package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;

/** In which zones, and how many to a machine, the tasks of a gang may be placed. */
final class GangConstraints {
    private static final List<ZoneFilter> ANY_ZONE = List.of(ZoneFilter.ANY_ZONE);

    private final List<ZoneFilter> eachZone;
    private final PlacementRules rules;

    GangConstraints(List<String> zones, PlacementRules rules) {
        this.eachZone = zones.stream().map(ZoneFilter::only).toList();
        this.rules = rules;
    }

    /** Where the whole gang is tried, in turn: in each zone by itself if its tasks have to stay together. */
    List<ZoneFilter> zonesToTry(JobSpec spec) {
        return mustChooseZone(spec) ? eachZone : ANY_ZONE;
    }

    /** Whether a zone has to be chosen for the gang. One that names its zone has no choice. */
    private static boolean mustChooseZone(JobSpec spec) {
        return spec.oneZone() && spec.zone() == null;
    }

    /** How many tasks fit on the machine now. On a suspect machine only one task is tried at a time. */
    int slots(Machine machine, JobSpec spec) {
        int slots = machine.capacity().slots(spec, 0, 0, 0);
        return rules.isSuspect(machine) ? Math.min(1, slots) : slots;
    }
}
