package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collections;
import java.util.Map;
import org.granitepath.storage.JobSpec;

/** How many tasks of a job are placed in each zone, and what the job's zone rules still allow. */
final class TasksByZone {
    private final JobSpec spec;
    private final Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();

    /** Nothing is placed yet. */
    TasksByZone(JobSpec spec) {
        this.spec = spec;
    }

    /** A task is placed in this zone. */
    void add(String zone) {
        counts.addTo(zone, 1);
    }

    /** A task in this zone is proved gone. */
    void remove(String zone) {
        counts.addTo(zone, -1);
    }

    /** The count of each zone that ever had a task: a view, which callers can't change. */
    Map<String, Integer> asMap() {
        return Collections.unmodifiableMap(counts);
    }

    /**
     * Whether one more task may stand in this zone.
     *
     * @param unconfirmedTasks tasks that may stand in any zone
     */
    boolean canPlaceInZone(String zone, int unconfirmedTasks) {
        if (spec.oneZone() && (unconfirmedTasks > 0 || hasTaskOutside(zone))) {
            return false;
        }
        return !spec.spread() || counts.getInt(zone) + unconfirmedTasks + 1 <= spec.zoneCap();
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
