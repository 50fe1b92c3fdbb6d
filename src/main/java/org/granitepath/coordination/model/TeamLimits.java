package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobSpec;

/** The resources that the tasks of each team use, compared with the team's guarantee and limit. */
public final class TeamLimits {
    private final Map<String, Team> teams;
    private final Object2LongOpenHashMap<String> cpuMillisUsed = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> gpuMillisUsed = new Object2LongOpenHashMap<>();

    /** Starts without used resources. */
    public TeamLimits(Map<String, Team> teams) {
        this.teams = teams;
    }

    /** Counts the resources of one placed task of the job. */
    public void addTask(JobSpec spec) {
        cpuMillisUsed.addTo(spec.team(), spec.cpuMillis());
        gpuMillisUsed.addTo(spec.team(), spec.gpuMillis());
    }

    /** Releases the resources of one task of the job that is proven to be gone. */
    public void removeTask(JobSpec spec) {
        cpuMillisUsed.addTo(spec.team(), -spec.cpuMillis());
        gpuMillisUsed.addTo(spec.team(), -spec.gpuMillis());
    }

    /**
     * Returns the thousandths of a CPU that a team uses beyond its guarantee, which are borrowed. A negative value is
     * the unused part of the guarantee.
     */
    public long borrowedCpuMillis(String teamName) {
        Team team = teams.get(teamName);
        return cpuMillisUsed.getLong(teamName) - (team == null ? 0 : team.cpuGuaranteeMillis());
    }

    /** Returns whether the job's team has a limit at all. */
    public boolean hasLimit(JobSpec spec) {
        Team team = teams.get(spec.team());
        return team != null && hasLimit(team);
    }

    private static boolean hasLimit(Team team) {
        return team.cpuLimitMillis() > 0 || team.gpuLimitMillis() > 0;
    }

    /** Returns whether this many more tasks of the job are within the limit of its team. */
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
