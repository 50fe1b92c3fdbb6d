package org.granitepath.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.SchedulingClass;

/**
 * Assigns the jobs that are within their team's guaranteed quota to a class of their own. A job is within the quota if
 * its unfinished tasks fit in it together with those of the team's earlier unfinished jobs. Other jobs of the team run
 * on borrowed quota and keep their class.
 */
final class GuaranteeClassifier {
    private final Map<String, Team> teams;
    private final ActiveJobs activeJobs;

    GuaranteeClassifier(Map<String, Team> teams, ActiveJobs activeJobs) {
        this.teams = teams;
        this.activeJobs = activeJobs;
    }

    /** Assigns the class to the jobs within a quota. All jobs must have been assigned their other class before. */
    void classify() {
        if (teams.values().stream().noneMatch(Team::hasGuarantee)) {
            return;
        }
        Object2LongOpenHashMap<String> cpuMillis = new Object2LongOpenHashMap<>();
        Object2LongOpenHashMap<String> gpuMillis = new Object2LongOpenHashMap<>();
        List<ActiveJob> oldestFirst = new ArrayList<>(activeJobs.all());
        oldestFirst.sort(Comparator.comparingLong((ActiveJob job) -> job.acceptedMicros())
                .thenComparing(job -> job.spec().id()));
        for (ActiveJob job : oldestFirst) {
            Team team = teams.get(job.spec().team());
            if (!job.isOpen() || team == null || !team.hasGuarantee()) {
                continue;
            }
            cpuMillis.addTo(team.name(), job.unfinishedTasks() * job.spec().cpuMillis());
            gpuMillis.addTo(team.name(), job.unfinishedTasks() * job.spec().gpuMillis());
            if (!job.isLiveService()
                    && cpuMillis.getLong(team.name()) <= team.cpuGuaranteeMillis()
                    && gpuMillis.getLong(team.name()) <= team.gpuGuaranteeMillis()) {
                job.scheduling().setSchedulingClass(SchedulingClass.GUARANTEED);
            }
        }
    }
}
