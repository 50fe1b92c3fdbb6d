package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import org.granitepath.bookkeeping.JobSpec;

/** What each team's tasks take of its limit. */
final class TeamLimits {
    private final Map<String, Config.Team> teams;
    private final Object2LongOpenHashMap<String> cpu = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> gpu = new Object2LongOpenHashMap<>();

    TeamLimits(Map<String, Config.Team> teams) {
        this.teams = teams;
    }

    void placed(JobSpec s) {
        cpu.addTo(s.team(), s.cpuMillis());
        gpu.addTo(s.team(), s.gpuMillis());
    }

    void freed(JobSpec s) {
        cpu.addTo(s.team(), -s.cpuMillis());
        gpu.addTo(s.team(), -s.gpuMillis());
    }

    /** CPUs that a team uses beyond its guarantee: these are borrowed. */
    long borrowedCpu(String team) {
        Config.Team t = teams.get(team);
        return cpu.getLong(team) - (t == null ? 0 : t.cpuGuarantee());
    }

    boolean limits(JobSpec s) {
        Config.Team team = teams.get(s.team());
        return team != null && (team.cpuLimit() > 0 || team.gpuLimit() > 0);
    }

    /** Whether one more such task is within the limit. */
    boolean allows(JobSpec s) {
        if (!limits(s)) {
            return true;
        }
        Config.Team team = teams.get(s.team());
        return (team.cpuLimit() == 0 || cpu.getLong(s.team()) + s.cpuMillis() <= team.cpuLimit())
                && (team.gpuLimit() == 0 || gpu.getLong(s.team()) + s.gpuMillis() <= team.gpuLimit());
    }
}
