package org.granitepath.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.List;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.PlacementRules;

/**
 * Tracks how much CPU one round of preemption can still reclaim from each team, in thousandths of a CPU: the amount
 * that the team uses beyond its guaranteed quota. The amount of a team is looked up when the team is first queried.
 */
final class ReclaimableCpu {
    private final PlacementRules rules;
    private final Object2LongOpenHashMap<String> millisByTeam = new Object2LongOpenHashMap<>();

    ReclaimableCpu(PlacementRules rules) {
        this.rules = rules;
    }

    /** Returns whether the team still uses more than its guaranteed quota. Looks the amount up on the first call. */
    boolean isAvailableFrom(String team) {
        if (!millisByTeam.containsKey(team)) {
            millisByTeam.put(team, rules.reclaimableCpuMillis(team));
        }
        return millisByTeam.getLong(team) > 0;
    }

    /**
     * Counts all of these tasks as reclaimed, unless the team of any of them has nothing left to reclaim.
     *
     * @param placements tasks whose teams were all queried with {@link #isAvailableFrom} before
     * @return false if the tasks were not counted
     */
    boolean reclaim(List<Placement> placements) {
        for (Placement placement : placements) {
            if (millisByTeam.getLong(placement.job().spec().team()) <= 0) {
                return false;
            }
        }
        placements.forEach(placement -> millisByTeam.addTo(
                placement.job().spec().team(), -placement.job().spec().cpuMillis()));
        return true;
    }
}
