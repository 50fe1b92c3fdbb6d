package org.granitepath.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.List;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.PlacementRules;

/**
 * What can still be reclaimed of each team in one round of preemption, in thousandths of a CPU: what it uses beyond
 * its guaranteed quota. A team's amount is looked up when the team is first asked for.
 */
final class BorrowedCpu {
    private final PlacementRules rules;
    private final Object2LongOpenHashMap<String> millisByTeam = new Object2LongOpenHashMap<>();

    BorrowedCpu(PlacementRules rules) {
        this.rules = rules;
    }

    boolean isLeftTo(String team) {
        if (!millisByTeam.containsKey(team)) {
            millisByTeam.put(team, rules.borrowedCpuMillis(team));
        }
        return millisByTeam.getLong(team) > 0;
    }

    /**
     * Counts these tasks as reclaimed, or none of them if nothing is left to reclaim of the team of one. Their teams
     * were asked for before.
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
