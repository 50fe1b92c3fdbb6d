package org.granitepath.coordination.model;

/** The scheduler's notes on a job: its class, its waiting times, and the reservations for a gang. */
public final class SchedulingState {
    private static final long NEVER = -1;

    private long notBeforeMicros;
    private long reservedSinceMicros = NEVER;
    private long reservationBlockedUntilMicros = NEVER;
    private long lastRunningMicros = NEVER;
    private SchedulingClass schedulingClass = SchedulingClass.OTHER;
    private boolean deferrable;
    private long lastStartMicros = NEVER;
    private long waitingSinceMicros = NEVER;

    /** Returns the class of the job. Jobs are ordered by class first, whatever their shares. */
    public SchedulingClass schedulingClass() {
        return schedulingClass;
    }

    /** Sets the class of the job, until it is classified again. */
    public void setSchedulingClass(SchedulingClass next) {
        schedulingClass = next;
    }

    /** Returns whether the job can wait for cheap capacity. */
    public boolean isDeferrable() {
        return deferrable;
    }

    /** Sets whether the job can wait for cheap capacity, until the scheduler decides again. */
    public void setDeferrable(boolean isDeferrable) {
        deferrable = isDeferrable;
    }

    /** Returns the time before which no task of the job is started. */
    public long notBeforeMicros() {
        return notBeforeMicros;
    }

    /** Sets the time before which no task of the job is started, in place of any earlier setting. */
    public void delayStartsUntil(long micros) {
        notBeforeMicros = micros;
    }

    /** Returns the time since which tasks have been waiting for capacity, or a negative value if none waits. */
    public long waitingSinceMicros() {
        return waitingSinceMicros;
    }

    /** Returns whether tasks of the job wait for capacity. */
    public boolean isWaiting() {
        return waitingSinceMicros != NEVER;
    }

    /** Notes that tasks of the job wait. The first such call sets the start of the waiting time until none waits. */
    public void markWaiting(long nowMicros) {
        if (!isWaiting()) {
            waitingSinceMicros = nowMicros;
        }
    }

    /** Notes that no task of the job waits. */
    public void clearWaiting() {
        waitingSinceMicros = NEVER;
    }

    /** Returns the time at which a task of the job was last placed, or a negative value if none was in this term. */
    public long lastStartMicros() {
        return lastStartMicros;
    }

    /** Notes that a task of the job was placed. */
    public void recordStart(long nowMicros) {
        lastStartMicros = nowMicros;
    }

    /**
     * Returns the time at which the job last had a task on a machine, or a negative value if it had none as far as this
     * term knows.
     */
    public long lastRunningMicros() {
        return lastRunningMicros;
    }

    /** Notes that the job has a task on a machine. */
    public void recordRunning(long nowMicros) {
        lastRunningMicros = nowMicros;
    }

    /** Returns the time since which machines are reserved for this gang, or a negative value if none is. */
    public long reservedSinceMicros() {
        return reservedSinceMicros;
    }

    /** Returns whether machines are reserved for this gang. */
    public boolean hasReservation() {
        return reservedSinceMicros != NEVER;
    }

    /** Notes that machines are reserved for this gang from now on. */
    public void beginReservation(long nowMicros) {
        reservedSinceMicros = nowMicros;
    }

    /** Notes that no machine is reserved for this gang any more. */
    public void endReservation() {
        reservedSinceMicros = NEVER;
    }

    /** Returns the time before which no machine is reserved for this gang again. */
    public long reservationBlockedUntilMicros() {
        return reservationBlockedUntilMicros;
    }

    /** Blocks reservations for this gang until the given time, so that other work has its turn. */
    public void blockReservationUntil(long micros) {
        reservationBlockedUntilMicros = micros;
    }
}
