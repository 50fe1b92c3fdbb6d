package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobSpec;

/** What each team's tasks take of its limit. */
public final class TeamLimits {
    private final Map<String, Team> teams;
    private final Object2LongOpenHashMap<String> cpuMillisUsed = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> gpuMillisUsed = new Object2LongOpenHashMap<>();

    /** Nothing is used yet. */
    public TeamLimits(Map<String, Team> teams) {
        this.teams = teams;
    }

    /** A task of this kind is placed. */
    public void addTask(JobSpec spec) {
        cpuMillisUsed.addTo(spec.team(), spec.cpuMillis());
        gpuMillisUsed.addTo(spec.team(), spec.gpuMillis());
    }

    /** A task of this kind is proved gone. */
    public void removeTask(JobSpec spec) {
        cpuMillisUsed.addTo(spec.team(), -spec.cpuMillis());
        gpuMillisUsed.addTo(spec.team(), -spec.gpuMillis());
    }

    /** Thousandths of a CPU that a team uses beyond its guarantee: these are borrowed. Negative: it has some left. */
    public long borrowedCpuMillis(String teamName) {
        Team team = teams.get(teamName);
        return cpuMillisUsed.getLong(teamName) - (team == null ? 0 : team.cpuGuaranteeMillis());
    }

    /** Whether the job's team has a limit at all. */
    public boolean hasLimit(JobSpec spec) {
        Team team = teams.get(spec.team());
        return team != null && hasLimit(team);
    }

    private static boolean hasLimit(Team team) {
        return team.cpuLimitMillis() > 0 || team.gpuLimitMillis() > 0;
    }

    /** Whether so many more such tasks are within the limit. */
    public boolean allows(JobSpec spec, int tasks) {
        Team team = teams.get(spec.team());
        if (team == null || !hasLimit(team)) {
            return true;
        }
        return (team.cpuLimitMillis() == 0
                        || cpuMillisUsed.getLong(spec.team()) + tasks * spec.cpuMillis() <= team.cpuLimitMillis())
                && (team.gpuLimitMillis() == 0
                        || gpuMillisUsed.getLong(spec.team()) + tasks * spec.gpuMillis() <= team.gpuLimitMillis());
    }
}
