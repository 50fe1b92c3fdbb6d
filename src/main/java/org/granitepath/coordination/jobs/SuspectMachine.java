package org.granitepath.coordination.jobs;

import java.util.HashSet;
import java.util.Set;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;

/** The suspicion against a machine on which tasks have failed since it was last proven healthy. */
final class SuspectMachine {
    /** A machine on which this many jobs failed, with no success in between, is faulty. */
    private static final int MIN_JOBS_OF_FAULTY_MACHINE = 2;

    private static final long FIRST_QUARANTINE_MICROS = 15_000_000;
    /** A machine that works again must be tried within the 90 s for which users let a job wait beside capacity. */
    private static final long MAX_QUARANTINE_MICROS = 60_000_000;
    /** How long after a quarantine a job that has failed on the machine lets other jobs be tried there first. */
    private static final long OTHER_JOBS_FIRST_MICROS = 5_000_000;

    /**
     * {@code SUSPECTED}: tasks of one job failed. {@code QUARANTINED}: the machine is faulty and gets no tasks.
     * {@code ON_PROBATION}: a quarantine is over, and one task at a time shows whether the machine works again.
     */
    private enum Phase {
        SUSPECTED,
        QUARANTINED,
        ON_PROBATION
    }

    private final Set<ActiveJob> failedJobs = new HashSet<>();
    private Phase phase = Phase.SUSPECTED;
    private long lastFailureMicros;
    private long quarantineEndMicros;
    private long nextQuarantineMicros = FIRST_QUARANTINE_MICROS;

    /** Records a failure of a task of the job and returns whether it puts the machine in quarantine. */
    boolean recordFailure(ActiveJob job, long nowMicros) {
        lastFailureMicros = nowMicros;
        failedJobs.add(job);
        boolean sparesMachine = phase == Phase.SUSPECTED && failedJobs.size() < MIN_JOBS_OF_FAULTY_MACHINE;
        if (phase == Phase.QUARANTINED || sparesMachine) {
            return false;
        }
        phase = Phase.QUARANTINED;
        quarantineEndMicros = nowMicros + nextQuarantineMicros;
        nextQuarantineMicros = Math.min(MAX_QUARANTINE_MICROS, 2 * nextQuarantineMicros);
        return true;
    }

    /** Puts the machine on probation if its quarantine is over, and returns whether it did. */
    boolean endQuarantineIfDue(long nowMicros) {
        if (phase != Phase.QUARANTINED || nowMicros < quarantineEndMicros) {
            return false;
        }
        phase = Phase.ON_PROBATION;
        return true;
    }

    /** Returns whether a task of the job may start on the machine now: one task at a time, outside a quarantine. */
    boolean canTry(Machine machine, ActiveJob job, long nowMicros) {
        return phase != Phase.QUARANTINED
                && !isExcluded(job, nowMicros)
                && machine.placements().stream().noneMatch(placement -> placement.placedMicros() > lastFailureMicros);
    }

    /**
     * Returns whether the job cannot use the machine now because a task of it failed there. After a quarantine such a
     * job is tried again, but after other jobs, since it may be the job that is at fault.
     */
    boolean isExcluded(ActiveJob job, long nowMicros) {
        boolean isRetryDue = phase == Phase.ON_PROBATION && nowMicros >= quarantineEndMicros + OTHER_JOBS_FIRST_MICROS;
        return failedJobs.contains(job) && !isRetryDue;
    }

    /** Returns whether a task that ran here proves the machine healthy, since it began after the last failure. */
    boolean isClearedBy(Placement placement) {
        return phase != Phase.QUARANTINED
                && !placement.isAdopted()
                && placement.runningSinceMicros() > lastFailureMicros;
    }

    /** Returns the jobs of which a task failed here. */
    Set<ActiveJob> failedJobs() {
        return Set.copyOf(failedJobs);
    }

    /** Forgets the failures of a job that has ended. */
    void forget(ActiveJob job) {
        failedJobs.remove(job);
    }
}
