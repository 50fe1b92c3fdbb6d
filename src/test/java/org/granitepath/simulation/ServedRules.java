package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.granitepath.storage.JobSpec;

/**
 * Checks that at least half of the jobs of each class, of each team, and of the largest quarter of each class are
 * served, and that no job of the largest quarters waits for its first start for more than 240 s.
 */
final class ServedRules {
    private static final long MAX_START_DELAY_MICROS = 240_000_000;

    private final ViolationReporter violations;
    private final JobHistory jobs;

    ServedRules(ViolationReporter violations, JobHistory jobs) {
        this.violations = violations;
        this.jobs = jobs;
    }

    /** Checks the jobs at the end of a run. */
    void check() {
        Map<String, List<JobSpec>> groups = new TreeMap<>();
        for (String job : jobs.submittedJobs()) {
            JobSpec spec = jobs.spec(job);
            if (mustBeServed(spec)) {
                groups.computeIfAbsent("class " + spec.jobClass(), unknown -> new ArrayList<>())
                        .add(spec);
                groups.computeIfAbsent("team " + spec.team(), unknown -> new ArrayList<>())
                        .add(spec);
            }
        }
        for (String name : List.copyOf(groups.keySet())) {
            if (name.startsWith("class ")) {
                groups.put("largest of " + name, largestQuarter(groups.get(name)));
            }
        }
        groups.forEach((name, group) -> {
            checkHalfServed(name, group);
            if (name.startsWith("largest")) {
                checkStartDelay(name, group);
            }
        });
    }

    private boolean mustBeServed(JobSpec spec) {
        return (jobs.isAccepted(spec.id()) && !jobs.isCancellationRequested(spec.id()))
                || (spec.isService() && jobs.hasStarted(spec.id()));
    }

    private static List<JobSpec> largestQuarter(List<JobSpec> group) {
        List<JobSpec> largest = new ArrayList<>(group);
        largest.sort(Comparator.comparingInt(JobSpec::tasks).reversed());
        return largest.subList(0, (largest.size() + 3) / 4);
    }

    private void checkHalfServed(String name, List<JobSpec> group) {
        long served = group.stream().filter(this::isServed).count();
        if (served * 2 < group.size()) {
            violations.report("unserved", name + ": " + served + " of " + group.size());
        }
    }

    /** Whether a service has started a task, or a batch job has completed all its tasks. */
    private boolean isServed(JobSpec spec) {
        return spec.isService() ? jobs.hasStarted(spec.id()) : jobs.completedTaskCount(spec.id()) == spec.tasks();
    }

    private void checkStartDelay(String name, List<JobSpec> group) {
        for (JobSpec spec : group) {
            long waitedMicros = jobs.waitMicros(spec.id());
            if (waitedMicros > MAX_START_DELAY_MICROS) {
                violations.report(
                        "unserved", name + ": " + spec.id() + " begins after " + waitedMicros / 1_000_000 + " s");
            }
        }
    }
}
