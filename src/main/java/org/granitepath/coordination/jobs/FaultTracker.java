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
 * job that fails there makes the machine faulty. A job is proven healthy once any of its tasks ran that long. Until
 * then its failures on several machines, none of which is known to be faulty, count against the job: it is retried at
 * growing intervals, one task at a time, and its failures make no further machine a suspect.
 */
public final class FaultTracker {
    /** A task that has run for this long is healthy, and so is the machine on which it started. */
    public static final long HEALTHY_RUN_MICROS = 5_000_000;
    /** A job that is not proven healthy and has failed on this many machines is itself a suspect. */
    private static final int MIN_MACHINES_OF_SUSPECT_JOB = 3;
    /** A machine on which this many jobs failed, with no success in between, is faulty. */
    private static final int MIN_JOBS_OF_FAULTY_MACHINE = 2;

    /** Doubled for each machine on which the job failed. */
    private static final long BASE_BACKOFF_MICROS = 250_000;

    private static final long MAX_BACKOFF_MICROS = 60_000_000;
    private static final int MAX_DOUBLINGS = 8;

    /** A machine on which tasks have failed since it was last proven healthy. */
    private static final class Suspect {
        private final Set<ActiveJob> failedJobs = new HashSet<>();
        private long failedMicros;
        private boolean faulty;

        /** Records a failure of a task of the job and returns whether it makes the machine faulty. */
        boolean recordFailure(ActiveJob job, long nowMicros) {
            failedMicros = nowMicros;
            failedJobs.add(job);
            if (faulty || failedJobs.size() < MIN_JOBS_OF_FAULTY_MACHINE) {
                return false;
            }
            faulty = true;
            return true;
        }

        /** Returns whether a task of the job may start here: one task at a time, and of no job that failed here. */
        boolean canTry(Machine machine, ActiveJob job) {
            return !faulty
                    && !failedJobs.contains(job)
                    && machine.placements().stream().noneMatch(placement -> placement.placedMicros() > failedMicros);
        }

        /** Returns whether a task that ran here proves the machine healthy, since it began after the last failure. */
        boolean isClearedBy(Placement placement) {
            return !faulty && !placement.isAdopted() && placement.runningSinceMicros() > failedMicros;
        }
    }

    private final Map<Machine, Suspect> suspects = new HashMap<>();
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
        Suspect suspect = suspects.get(placement.machine());
        if (suspect != null && suspect.isClearedBy(placement)) {
            suspects.remove(placement.machine());
        }
        if (!healthyJobs.add(job)) {
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

    /** Returns whether the task, if it keeps running, could prove that its machine or its job is healthy. */
    public boolean isUnderObservation(Placement placement) {
        return suspects.containsKey(placement.machine()) || !healthyJobs.contains(placement.job());
    }

    /** Returns whether tasks have failed on the machine since it was last proven healthy. */
    public boolean isSuspect(Machine machine) {
        return suspects.containsKey(machine);
    }

    /**
     * Returns whether a task of the job may start on the machine. A suspect takes only one task at a time, and none of
     * a job that failed there.
     */
    public boolean canTry(Machine machine, ActiveJob job) {
        Suspect suspect = suspects.get(machine);
        return suspect == null || suspect.canTry(machine, job);
    }

    /** Returns the machines that {@link #canTry} excludes for this job although it may accept other jobs. */
    public Set<Machine> machinesExcludedFor(ActiveJob job) {
        if (suspects.isEmpty()) {
            return Set.of();
        }
        Set<Machine> excluded = new HashSet<>();
        suspects.forEach((machine, suspect) -> {
            if (suspect.failedJobs.contains(job)) {
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
        suspects.values().forEach(suspect -> suspect.failedJobs.remove(job));
    }

    /** Records a failure against the machine and returns whether it makes the machine faulty. */
    private boolean recordMachineFailure(Machine machine, ActiveJob job, long nowMicros) {
        Suspect suspect = suspects.computeIfAbsent(machine, unknown -> new Suspect());
        if (!suspect.recordFailure(job, nowMicros)) {
            return false;
        }
        // The failures on a faulty machine are not the fault of the jobs, so they need not wait any longer.
        for (ActiveJob failedJob : suspect.failedJobs) {
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
