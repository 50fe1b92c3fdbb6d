package org.granitepath.simulation;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;

/** Checks that no task runs twice, that tasks run only where their jobs allow, and that teams stay within limits. */
final class TaskPlacementRules {
    private record Location(String host, String zone) {}

    private final ViolationReporter violations;
    private final JobHistory jobs;
    private final Map<String, Team> teams;
    private final Map<TaskId, Location> locations = new HashMap<>();
    private int startedTaskCount;

    TaskPlacementRules(ViolationReporter violations, JobHistory jobs, Map<String, Team> teams) {
        this.violations = violations;
        this.jobs = jobs;
        this.teams = teams;
    }

    /** Records that a task has started on a machine, and checks the rules. */
    void recordTaskStarted(TaskId task, String host, String type, String zone, boolean spot) {
        startedTaskCount++;
        JobSpec spec = jobs.spec(task.job());
        checkRunsOnce(task, host);
        locations.put(task, new Location(host, zone));
        checkMachineAllowed(task, spec, type, zone, spot);
        checkZoneConstraints(task, spec, zone);
        checkQuota(spec.team());
    }

    private void checkRunsOnce(TaskId task, String host) {
        Location other = locations.get(task);
        if (other != null) {
            violations.report("ran_twice", task + " starts on " + host + " while on " + other.host());
        }
    }

    private void checkMachineAllowed(TaskId task, JobSpec spec, String type, String zone, boolean spot) {
        if (!spec.isTypeAllowed(type) || !spec.isZoneAllowed(zone) || (spot && !spec.spotAllowed())) {
            violations.report("wrong_place", task + " on " + type + " " + zone + (spot ? " spot" : ""));
        }
    }

    private void checkZoneConstraints(TaskId task, JobSpec spec, String zone) {
        if (!spec.spread() && !spec.oneZone()) {
            return;
        }
        int here = 0;
        int elsewhere = 0;
        for (var entry : locations.entrySet()) {
            if (entry.getKey().job().equals(task.job())) {
                boolean sameZone = entry.getValue().zone().equals(zone);
                here += sameZone ? 1 : 0;
                elsewhere += sameZone ? 0 : 1;
            }
        }
        if ((spec.spread() && here > spec.maxTasksPerZone()) || (spec.oneZone() && elsewhere > 0)) {
            violations.report("wrong_place", task + ": " + here + " of its job in " + zone);
        }
    }

    private void checkQuota(String name) {
        Team team = teams.get(name);
        if (team.cpuLimitMillis() <= 0 && team.gpuLimitMillis() <= 0) {
            return;
        }
        long cpu = 0;
        long gpu = 0;
        for (TaskId task : locations.keySet()) {
            JobSpec running = jobs.spec(task.job());
            if (running.team().equals(name)) {
                cpu += running.cpuMillis();
                gpu += running.gpuMillis();
            }
        }
        if ((team.cpuLimitMillis() > 0 && cpu > team.cpuLimitMillis())
                || (team.gpuLimitMillis() > 0 && gpu > team.gpuLimitMillis())) {
            violations.report(
                    "quota", "team " + name + " uses " + cpu + " thousandths of a CPU and " + gpu + " of a GPU");
        }
    }

    /** Records that a task is no longer on a machine; has no effect if it runs on another one. */
    void recordTaskRemoved(TaskId task, String host) {
        Location place = locations.get(task);
        if (place != null && place.host().equals(host)) {
            locations.remove(task);
        }
    }

    /** How many attempts of tasks have started on machines so far. */
    int startedTaskCount() {
        return startedTaskCount;
    }

    /** The tasks that are on a machine. */
    Set<TaskId> tasks() {
        return Collections.unmodifiableSet(locations.keySet());
    }

    /** The id of the machine that runs a task, which must be on one. */
    String hostOf(TaskId task) {
        return locations.get(task).host();
    }

    /** Ids of the jobs with a task on a machine that no user has asked to cancel, sorted. */
    List<String> runningJobs() {
        return locations.keySet().stream()
                .map(TaskId::job)
                .filter(job -> !jobs.isCancellationRequested(job))
                .distinct()
                .sorted()
                .toList();
    }

    /** The CPU that the running tasks of a team use, in thousandths of a CPU. */
    long usedCpuMillis(String team) {
        return locations.keySet().stream()
                .map(task -> jobs.spec(task.job()))
                .filter(job -> job.team().equals(team))
                .mapToLong(JobSpec::cpuMillis)
                .sum();
    }

    /** Ids of the machines that run tasks of a job, sorted. */
    Set<String> hostsOf(String job) {
        Set<String> hosts = new TreeSet<>();
        locations.forEach((task, place) -> {
            if (task.job().equals(job)) {
                hosts.add(place.host());
            }
        });
        return hosts;
    }

    /** How many tasks of services are on a machine. */
    long runningReplicaCount() {
        return locations.keySet().stream()
                .filter(task -> jobs.spec(task.job()).isService())
                .count();
    }
}
