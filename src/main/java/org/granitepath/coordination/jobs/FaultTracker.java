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
 * <p>A failure makes the machine a suspect. A suspect is offered one task at a time, of a job that has not failed
 * there, and is cleared by a task that started after the failure and ran to its end or for {@link #HEALTHY_RUN_MICROS}. A
 * second job that fails there makes it faulty. A job is cleared by any task of its own that ran that long. Until then
 * its failures on several machines, none of which is known to be faulty, count against the job: it is retried less
 * and less often, one task at a time, and it makes no further machine a suspect.
 */
public final class FaultTracker {
    /** A task that has run for this long is sound, and so is the machine on which it started. */
    public static final long HEALTHY_RUN_MICROS = 5_000_000;
    /** A job without proof that failed on this many machines is itself in question. */
    private static final int MIN_MACHINES_OF_SUSPECT_JOB = 3;
    /** A machine on which this many jobs failed, with no success in between, is faulty. */
    private static final int MIN_JOBS_OF_FAULTY_MACHINE = 2;

    private static final long BASE_BACKOFF_MICROS = 250_000;
    private static final long MAX_BACKOFF_MICROS = 60_000_000;
    private static final int MAX_DOUBLINGS = 8;

    /** A machine on which tasks failed since it last proved to be sound. */
    private static final class Suspect {
        private final Set<ActiveJob> failedJobs = new HashSet<>();
        private long failedMicros;
        private boolean faulty;

        /** A task of this job failed there; true when that makes the machine faulty. */
        boolean recordFailure(ActiveJob job, long nowMicros) {
            failedMicros = nowMicros;
            failedJobs.add(job);
            if (faulty || failedJobs.size() < MIN_JOBS_OF_FAULTY_MACHINE) {
                return false;
            }
            faulty = true;
            return true;
        }

        /** Whether a task of this job may be started there: one at a time, and of no job that failed there. */
        boolean canTry(Machine machine, ActiveJob job) {
            return !faulty
                    && !failedJobs.contains(job)
                    && machine.placements().stream().noneMatch(placement -> placement.placedMicros() > failedMicros);
        }

        /** Whether a task that ran there shows that the machine is sound, since it began after the last failure. */
        boolean isClearedBy(Placement placement) {
            return !faulty && !placement.isAdopted() && placement.runningSinceMicros() > failedMicros;
        }
    }

    private final Map<Machine, Suspect> suspects = new HashMap<>();
    /** For each job without proof, the machines on which it failed and that are not known to be faulty. */
    private final Map<ActiveJob, Set<Machine>> failedMachines = new HashMap<>();

    private final Set<ActiveJob> healthyJobs = new HashSet<>();

    /** A task of the job failed there. Returns the machines that have turned out to be faulty. */
    public List<Machine> recordFailure(Machine machine, ActiveJob job, long nowMicros) {
        if (healthyJobs.contains(job)) {
            return recordMachineFailure(machine, job, nowMicros) ? List.of(machine) : List.of();
        }
        Set<Machine> machines = failedMachines.computeIfAbsent(job, unknown -> new LinkedHashSet<>());
        machines.add(machine);
        boolean jobInQuestion = machines.size() >= MIN_MACHINES_OF_SUSPECT_JOB;
        boolean turnedFaulty = !jobInQuestion && recordMachineFailure(machine, job, nowMicros);
        job.scheduling().delayStartsUntil(nowMicros + backoffMicros(machines.size()));
        return turnedFaulty ? List.of(machine) : List.of();
    }

    /**
     * A task ran to its end, or for {@link #HEALTHY_RUN_MICROS}. Returns the machines that have turned out to be faulty:
     * those on which the job failed before, which is now known not to be the job's own fault.
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

    /** Whether a task's further running could prove anything that is not known yet. */
    public boolean isUnderObservation(Placement placement) {
        return suspects.containsKey(placement.machine()) || !healthyJobs.contains(placement.job());
    }

    /** Whether tasks failed on this machine since it last proved to be sound. */
    public boolean isSuspect(Machine machine) {
        return suspects.containsKey(machine);
    }

    /**
     * Whether a task of this job may be started there: on a suspect only one at a time, and of no job that failed
     * there.
     */
    public boolean canTry(Machine machine, ActiveJob job) {
        Suspect suspect = suspects.get(machine);
        return suspect == null || suspect.canTry(machine, job);
    }

    /** Whether a further task of this job may be started anywhere: of a job in question only one at a time. */
    public boolean canStartAnother(ActiveJob job) {
        Set<Machine> machines = failedMachines.get(job);
        return machines == null || machines.size() < MIN_MACHINES_OF_SUSPECT_JOB || !job.hasPlacements();
    }

    /** Forgets a machine that is gone. */
    public void forget(Machine machine) {
        suspects.remove(machine);
        failedMachines.values().forEach(machines -> machines.remove(machine));
    }

    /** Forgets a job that is over. */
    public void forget(ActiveJob job) {
        healthyJobs.remove(job);
        failedMachines.remove(job);
        suspects.values().forEach(suspect -> suspect.failedJobs.remove(job));
    }

    /** Notes that the machine failed a task; true when that makes it faulty. */
    private boolean recordMachineFailure(Machine machine, ActiveJob job, long nowMicros) {
        Suspect suspect = suspects.computeIfAbsent(machine, unknown -> new Suspect());
        if (!suspect.recordFailure(job, nowMicros)) {
            return false;
        }
        // What failed there is not the jobs' own fault: they need not wait any longer.
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
