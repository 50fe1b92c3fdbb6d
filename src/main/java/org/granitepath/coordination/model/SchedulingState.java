package org.granitepath.coordination.model;

/** What the scheduler has noted of a job: its class, since when it waits, and what is reserved for it. */
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

    /** The class by which it is ordered before its share counts. */
    public SchedulingClass schedulingClass() {
        return schedulingClass;
    }

    /** It belongs to this class until it is classified again. */
    public void setSchedulingClass(SchedulingClass next) {
        schedulingClass = next;
    }

    /** Whether it can wait for cheap capacity. */
    public boolean isDeferrable() {
        return deferrable;
    }

    /** It can wait for cheap capacity, or can't, until the scheduler looks at it again. */
    public void setDeferrable(boolean canWait) {
        deferrable = canWait;
    }

    /** Before this none of its tasks is started. */
    public long notBeforeMicros() {
        return notBeforeMicros;
    }

    /** No task of it is started before then. */
    public void delayStartsUntil(long earliestStartMicros) {
        notBeforeMicros = earliestStartMicros;
    }

    /** Since when tasks wait without capacity; negative when none does. */
    public long waitingSinceMicros() {
        return waitingSinceMicros;
    }

    /** Whether tasks of it wait without capacity. */
    public boolean isWaiting() {
        return waitingSinceMicros != NEVER;
    }

    /** It is seen to have tasks that wait; the first sight of that counts until none does. */
    public void markWaiting(long nowMicros) {
        if (!isWaiting()) {
            waitingSinceMicros = nowMicros;
        }
    }

    /** No task of it waits. */
    public void clearWaiting() {
        waitingSinceMicros = NEVER;
    }

    /** When a task of it was last placed; negative: not in this term. */
    public long lastStartMicros() {
        return lastStartMicros;
    }

    /** A task of it was placed. */
    public void recordStart(long nowMicros) {
        lastStartMicros = nowMicros;
    }

    /** When it last had a task on a machine, as far as this term knows; negative: never. */
    public long lastRunningMicros() {
        return lastRunningMicros;
    }

    /** It has a task on a machine. */
    public void recordRunning(long nowMicros) {
        lastRunningMicros = nowMicros;
    }

    // ---- reservations of gangs ---------------------------------------------------------------------------------

    /** Since when machines are reserved for this gang; negative when none is. */
    public long reservedSinceMicros() {
        return reservedSinceMicros;
    }

    /** Whether machines are reserved for it. */
    public boolean hasReservation() {
        return reservedSinceMicros != NEVER;
    }

    /** Machines are reserved for it from now on. */
    public void beginReservation(long nowMicros) {
        reservedSinceMicros = nowMicros;
    }

    /** No machine is reserved for it any more. */
    public void endReservation() {
        reservedSinceMicros = NEVER;
    }

    /** No machine is reserved for this gang again before then. */
    public long reservationBlockedUntilMicros() {
        return reservationBlockedUntilMicros;
    }

    /** Other work has its turn until then. */
    public void blockReservationUntil(long earliestReservationMicros) {
        reservationBlockedUntilMicros = earliestReservationMicros;
    }
}
