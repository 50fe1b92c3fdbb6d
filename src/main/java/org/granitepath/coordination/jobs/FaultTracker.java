package org.granitepath.coordination.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;

/**
 * Decides whether a failed task is the fault of its machine or of its job.
 *
 * <p>A failure makes the machine a suspect. A suspect gets one task at a time, of a job that has not failed there. It
 * is cleared by a task that started after the failure and ran to its end or for {@link #HEALTHY_RUN_MICROS}. A second
 * job that fails there makes the machine faulty: it is quarantined, and tried again after a growing time (see {@link
 * SuspectMachine}). A job is proven healthy once any of its tasks ran that long. Until then its failures on several
 * machines, none of which is known to be faulty, count against the job: it is retried at growing intervals, one task at
 * a time, and its failures make no further machine a suspect. Failures on a faulty machine count against their jobs as
 * soon as the machine is cleared.
 */
public final class FaultTracker {
    /** A task that has run for this long is healthy, and so is the machine on which it started. */
    public static final long HEALTHY_RUN_MICROS = 5_000_000;
    /** A job that is not proven healthy and has failed on this many machines is itself a suspect. */
    private static final int MIN_MACHINES_OF_SUSPECT_JOB = 3;

    /** Doubled for each machine on which the job failed. */
    private static final long BASE_BACKOFF_MICROS = 250_000;

    private static final long MAX_BACKOFF_MICROS = 60_000_000;
    private static final int MAX_DOUBLINGS = 8;

    private final Map<Machine, SuspectMachine> suspects = new HashMap<>();
    /** For each job not proven healthy, the machines on which it failed and that are not known to be faulty. */
    private final Map<ActiveJob, Set<Machine>> failedMachines = new HashMap<>();

    private final Set<ActiveJob> healthyJobs = new HashSet<>();

    /** Records a failed task of the job on the machine and returns the machines that this makes faulty. */
    public List<Machine> recordFailure(Machine machine, ActiveJob job, long nowMicros) {
        if (healthyJobs.contains(job)) {
            return recordMachineFailure(machine, job, nowMicros) ? List.of(machine) : List.of();
        }
        Set<Machine> machines = failedMachines.computeIfAbsent(job, unknown -> new LinkedHashSet<>());
        machines.add(machine);
        boolean jobIsSuspect = machines.size() >= MIN_MACHINES_OF_SUSPECT_JOB;
        boolean turnedFaulty = !jobIsSuspect && recordMachineFailure(machine, job, nowMicros);
        job.scheduling().delayStartsUntil(nowMicros + backoffMicros(machines.size()));
        return turnedFaulty ? List.of(machine) : List.of();
    }

    /**
     * Records that a task ran to its end or for {@link #HEALTHY_RUN_MICROS}. This proves that the earlier failures of
     * its job were not the fault of the job.
     *
     * @return the machines that this makes faulty, because the job failed on them before
     */
    public List<Machine> recordSuccess(Placement placement, long nowMicros) {
        ActiveJob job = placement.job();
        SuspectMachine suspect = suspects.get(placement.machine());
        boolean jobIsNewlyHealthy = healthyJobs.add(job);
        if (suspect != null && suspect.isClearedBy(placement)) {
            suspects.remove(placement.machine());
            blameJobs(suspect.failedJobs(), placement.machine());
        }
        if (!jobIsNewlyHealthy) {
            return List.of();
        }
        Set<Machine> machines = failedMachines.remove(job);
        if (machines == null) {
            return List.of();
        }
        job.scheduling().delayStartsUntil(nowMicros);
        return machines.stream()
                .filter(machine -> !machine.isGone() && recordMachineFailure(machine, job, nowMicros))
                .toList();
    }

    /** Counts failures on a machine that has been proven healthy against the jobs, unless these are healthy, too. */
    private void blameJobs(Set<ActiveJob> failedJobs, Machine machine) {
        for (ActiveJob failedJob : failedJobs) {
            if (!healthyJobs.contains(failedJob)) {
                failedMachines
                        .computeIfAbsent(failedJob, unknown -> new LinkedHashSet<>())
                        .add(machine);
            }
        }
    }

    /** Returns whether the task, if it keeps running, could prove that its machine or its job is healthy. */
    public boolean isUnderObservation(Placement placement) {
        return suspects.containsKey(placement.machine()) || !healthyJobs.contains(placement.job());
    }

    /** Returns whether tasks have failed on the machine since it was last proven healthy. */
    public boolean isSuspect(Machine machine) {
        return suspects.containsKey(machine);
    }

    /**
     * Returns whether a task of the job may start on the machine now. A suspect takes only one task at a time, and none
     * of a job that failed there.
     */
    public boolean canTry(Machine machine, ActiveJob job, long nowMicros) {
        SuspectMachine suspect = suspects.get(machine);
        return suspect == null || suspect.canTry(machine, job, nowMicros);
    }

    /** Ends the quarantine of the machine if its time is over, and returns whether it did. */
    public boolean endQuarantineIfDue(Machine machine, long nowMicros) {
        SuspectMachine suspect = suspects.get(machine);
        return suspect != null && suspect.endQuarantineIfDue(nowMicros);
    }

    /** Returns the machines that {@link #canTry} excludes for this job although it may accept other jobs. */
    public Set<Machine> machinesExcludedFor(ActiveJob job, long nowMicros) {
        if (suspects.isEmpty()) {
            return Set.of();
        }
        Set<Machine> excluded = new HashSet<>();
        suspects.forEach((machine, suspect) -> {
            if (suspect.isExcluded(job, nowMicros)) {
                excluded.add(machine);
            }
        });
        return excluded;
    }

    /** Returns whether another task of the job may start on any machine. A suspect job gets only one at a time. */
    public boolean canStartAnother(ActiveJob job) {
        Set<Machine> machines = failedMachines.get(job);
        return machines == null || machines.size() < MIN_MACHINES_OF_SUSPECT_JOB || !job.hasPlacements();
    }

    /** Removes a machine that is gone. */
    public void forget(Machine machine) {
        suspects.remove(machine);
        failedMachines.values().forEach(machines -> machines.remove(machine));
    }

    /** Removes a job that has ended. */
    public void forget(ActiveJob job) {
        healthyJobs.remove(job);
        failedMachines.remove(job);
        suspects.values().forEach(suspect -> suspect.forget(job));
    }

    /** Records a failure against the machine and returns whether it makes the machine faulty. */
    private boolean recordMachineFailure(Machine machine, ActiveJob job, long nowMicros) {
        SuspectMachine suspect = suspects.computeIfAbsent(machine, unknown -> new SuspectMachine());
        if (!suspect.recordFailure(job, nowMicros)) {
            return false;
        }
        // The failures on a faulty machine are not the fault of the jobs, so they need not wait any longer.
        for (ActiveJob failedJob : suspect.failedJobs()) {
            Set<Machine> machines = failedMachines.get(failedJob);
            if (machines != null && machines.remove(machine) && machines.isEmpty()) {
                failedJob.scheduling().delayStartsUntil(nowMicros);
            }
        }
        return true;
    }

    private static long backoffMicros(int machines) {
        return Math.min(MAX_BACKOFF_MICROS, BASE_BACKOFF_MICROS << Math.min(machines, MAX_DOUBLINGS));
    }
}
