package org.granitepath.coordination.gang;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.JobSpec;

/** In which zones, and how many to a machine, the tasks of a gang may be placed. */
final class GangConstraints {
    private final List<String> zones;
    private final PlacementRules rules;

    GangConstraints(List<String> zones, PlacementRules rules) {
        this.zones = zones;
        this.rules = rules;
    }

    /** The zones to try, each by itself; one null when the tasks may be in different zones. */
    List<String> zonesToTry(JobSpec spec) {
        if (!spec.oneZone() || spec.zone() != null) {
            List<String> anyZone = new ArrayList<>();
            anyZone.add(null);
            return anyZone;
        }
        return zones;
    }

    /** Whether the machine is in this zone; null: any zone will do. */
    static boolean isIn(Machine machine, String zone) {
        return zone == null || machine.zone().equals(zone);
    }

    /** How many tasks fit on the machine now. On a suspect machine only one task is tried at a time. */
    int slots(Machine machine, JobSpec spec) {
        int slots = machine.capacity().slots(spec, 0, 0, 0);
        return rules.isSuspect(machine) ? Math.min(1, slots) : slots;
    }
}
