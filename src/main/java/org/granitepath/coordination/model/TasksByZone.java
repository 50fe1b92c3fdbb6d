package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collections;
import java.util.Map;
import org.granitepath.storage.JobSpec;

/** The number of placed tasks of one job in each zone, and the zones in which the job may place more. */
final class TasksByZone {
    private final JobSpec spec;
    private final Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();

    /** Starts without placed tasks. */
    TasksByZone(JobSpec spec) {
        this.spec = spec;
    }

    /** Counts a task placed in the zone. */
    void add(String zone) {
        counts.addTo(zone, 1);
    }

    /** Removes a task that was placed in the zone and is proven to be gone. */
    void remove(String zone) {
        counts.addTo(zone, -1);
    }

    /** Returns the count of each zone that ever had a task, as an unmodifiable view. */
    Map<String, Integer> asMap() {
        return Collections.unmodifiableMap(counts);
    }

    /**
     * Returns whether one more task may be placed in the zone.
     *
     * @param unconfirmedTasks the number of tasks that may be running in any zone
     */
    boolean canPlaceInZone(String zone, int unconfirmedTasks) {
        if (spec.oneZone() && (unconfirmedTasks > 0 || hasTaskOutside(zone))) {
            return false;
        }
        return !spec.spread() || counts.getInt(zone) + unconfirmedTasks + 1 <= spec.maxTasksPerZone();
    }

    private boolean hasTaskOutside(String zone) {
        for (var entry : counts.object2IntEntrySet()) {
            if (entry.getIntValue() > 0 && !entry.getKey().equals(zone)) {
                return true;
            }
        }
        return false;
    }
}
