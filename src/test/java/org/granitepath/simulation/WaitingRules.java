package org.granitepath.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobSpec;

/**
 * Checks that no job starves. A job starves if it waits for more than 90 s while its team is within its limit and a
 * machine could start one of its tasks, or, for a gang, the machines together could start all of them.
 */
final class WaitingRules {
    private static final long MAX_WAIT_MICROS = 90_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter violations;
    private final JobHistory jobs;
    private final Map<String, Team> teams;
    private final Map<String, Long> startableSinceMicros = new HashMap<>();

    WaitingRules(SimEnvironment environment, ViolationReporter violations, JobHistory jobs, Map<String, Team> teams) {
        this.environment = environment;
        this.violations = violations;
        this.jobs = jobs;
        this.teams = teams;
    }

    /** Checks all accepted jobs; to be called repeatedly. The wait of a job begins again when a start of it is sent. */
    void check(Collection<SimWorker> machines) {
        HeldTasks held = collectHeldTasks(machines);
        for (String job : jobs.acceptedJobs()) {
            JobSpec spec = jobs.spec(job);
            int remainingTasks = spec.tasks() - jobs.completedTaskCount(job) - held.tasksOf(job);
            if (remainingTasks <= 0 || !canStartMoreTasks(spec, remainingTasks, held, machines)) {
                startableSinceMicros.remove(job);
                continue;
            }
            long waitingSinceMicros = Math.max(
                    startableSinceMicros.computeIfAbsent(job, unknown -> environment.nowMicros()),
                    jobs.lastStartSentMicros(job));
            if (environment.nowMicros() - waitingSinceMicros > MAX_WAIT_MICROS) {
                violations.report(
                        "neglected",
                        job + " of team " + spec.team() + " waits with " + remainingTasks
                                + " tasks while a machine has capacity");
            }
        }
    }

    private boolean canStartMoreTasks(
            JobSpec spec, int remainingTasks, HeldTasks held, Collection<SimWorker> machines) {
        return !jobs.isCancellationRequested(spec.id())
                && jobs.finalState(spec.id()) == null
                && isWithinTeamLimit(spec, held)
                && (!spec.isGang() || hasCapacityForGang(spec, remainingTasks, held, machines))
                && machines.stream().anyMatch(machine -> canStartOn(machine, spec, held));
    }

    private boolean isWithinTeamLimit(JobSpec spec, HeldTasks held) {
        long limit = teams.get(spec.team()).cpuLimitMillis();
        // The least CPU that another start needs: a gang starts all its tasks at once.
        long needed = spec.cpuMillis() * (spec.isGang() ? spec.tasks() : 1);
        return limit == 0 || held.cpuMillisOf(spec.team()) + needed <= limit;
    }

    private static boolean canStartOn(SimWorker machine, JobSpec spec, HeldTasks held) {
        return machine.canStart(spec)
                && (!spec.oneZone() || Set.of(machine.zone).containsAll(held.zonesOf(spec.id())))
                && (!spec.spread() || held.tasksIn(spec.id(), machine.zone) < spec.maxTasksPerZone());
    }

    /** Whether no task of the gang is on a machine and all find capacity, in one zone if the job requires it. */
    private static boolean hasCapacityForGang(
            JobSpec spec, int remainingTasks, HeldTasks held, Collection<SimWorker> machines) {
        Map<String, Integer> slots = new HashMap<>();
        machines.forEach(
                machine -> slots.merge(spec.oneZone() ? machine.zone : "any", machine.slots(spec), Integer::sum));
        return held.tasksOf(spec.id()) == 0 && slots.values().stream().anyMatch(count -> count >= remainingTasks);
    }

    private HeldTasks collectHeldTasks(Collection<SimWorker> machines) {
        HeldTasks held = new HeldTasks();
        for (SimWorker machine : machines) {
            machine.attempts().taskCountsByJob().forEach((job, count) -> held.add(jobs.spec(job), machine.zone, count));
        }
        return held;
    }

    /** Totals of the tasks on machines: by job, by job and zone, and the CPU by team, in thousandths of a CPU. */
    private static final class HeldTasks {
        private record JobInZone(String job, String zone) {}

        private final Map<String, Integer> tasksByJob = new HashMap<>();
        private final Map<String, Set<String>> zonesByJob = new HashMap<>();
        private final Map<JobInZone, Integer> tasksByJobAndZone = new HashMap<>();
        private final Map<String, Long> teamCpuMillis = new HashMap<>();

        void add(JobSpec spec, String zone, int count) {
            tasksByJob.merge(spec.id(), count, Integer::sum);
            zonesByJob.computeIfAbsent(spec.id(), unknown -> new HashSet<>()).add(zone);
            tasksByJobAndZone.merge(new JobInZone(spec.id(), zone), count, Integer::sum);
            teamCpuMillis.merge(spec.team(), count * spec.cpuMillis(), Long::sum);
        }

        int tasksOf(String job) {
            return tasksByJob.getOrDefault(job, 0);
        }

        Set<String> zonesOf(String job) {
            return zonesByJob.getOrDefault(job, Set.of());
        }

        int tasksIn(String job, String zone) {
            return tasksByJobAndZone.getOrDefault(new JobInZone(job, zone), 0);
        }

        long cpuMillisOf(String team) {
            return teamCpuMillis.getOrDefault(team, 0L);
        }
    }
}
