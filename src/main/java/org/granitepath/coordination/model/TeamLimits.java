package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobSpec;

/** What each team's tasks take of its limit. */
public final class TeamLimits {
    private final Map<String, Team> teams;
    private final Object2LongOpenHashMap<String> cpu = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> gpu = new Object2LongOpenHashMap<>();

    /** Nothing is used yet. */
    public TeamLimits(Map<String, Team> teams) {
        this.teams = teams;
    }

    /** A task of this kind is placed. */
    public void placed(JobSpec spec) {
        cpu.addTo(spec.team(), spec.cpuMillis());
        gpu.addTo(spec.team(), spec.gpuMillis());
    }

    /** A task of this kind is proved gone. */
    public void freed(JobSpec spec) {
        cpu.addTo(spec.team(), -spec.cpuMillis());
        gpu.addTo(spec.team(), -spec.gpuMillis());
    }

    /** CPUs that a team uses beyond its guarantee: these are borrowed. */
    public long borrowedCpu(String name) {
        Team team = teams.get(name);
        return cpu.getLong(name) - (team == null ? 0 : team.cpuGuarantee());
    }

    /** Whether the job's team has a limit at all. */
    public boolean limits(JobSpec spec) {
        Team team = teams.get(spec.team());
        return team != null && (team.cpuLimit() > 0 || team.gpuLimit() > 0);
    }

    /** Whether so many more such tasks are within the limit. */
    public boolean allows(JobSpec spec, int tasks) {
        if (!limits(spec)) {
            return true;
        }
        Team team = teams.get(spec.team());
        return (team.cpuLimit() == 0 || cpu.getLong(spec.team()) + tasks * spec.cpuMillis() <= team.cpuLimit())
                && (team.gpuLimit() == 0 || gpu.getLong(spec.team()) + tasks * spec.gpuMillis() <= team.gpuLimit());
    }
}
