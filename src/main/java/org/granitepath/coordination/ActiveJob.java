package org.granitepath.coordination;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.IntAVLTreeSet;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Priority;
import org.granitepath.bookkeeping.ProgressRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An unfinished job as its leader sees it: which tasks are done, placed, free to start, or unconfirmed, and what the
 * scheduler has noted of it. State changes through the named methods alone.
 */
final class ActiveJob {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveJob.class);
    private static final long NEVER = -1;

    /** {@code ENDING}: all tasks done, to be recorded. {@code OVER}: its final state is on record. */
    enum Phase {
        OPEN,
        ENDING,
        OVER;

        /** Whether a job may go from this phase to the next one. */
        boolean allows(Phase next) {
            return compareTo(next) < 0;
        }
    }

    private final JobSpec spec;
    private final long acceptedMicros;
    private final long sinceMicros;
    private final RangeSet<Integer> done;
    private final Int2ObjectMap<Placement> placements = new Int2ObjectLinkedOpenHashMap<>();
    private final Collection<Placement> placementsView = Collections.unmodifiableCollection(placements.values());
    private final Object2IntOpenHashMap<String> zoneCounts = new Object2IntOpenHashMap<>();
    /** Claimed, not done, not placed, and proved to be on no machine. */
    private final IntAVLTreeSet free = new IntAVLTreeSet();
    /** Claimed by a predecessor; may be running on a machine not yet heard. */
    private final IntOpenHashSet unconfirmed = new IntOpenHashSet();

    private Phase phase = Phase.OPEN;
    private int doneCount;
    private int claimed;
    private int claimWanted;
    /** Tasks at or above this were never handed out. */
    private int fresh;

    private double ranMicros;
    private int ranCount;
    private long notBeforeMicros;
    private GangAttempt gangAttempt;
    private long reservedSinceMicros = NEVER;
    private long noReservationUntilMicros = NEVER;
    private long lastRunningMicros = NEVER;
    private SchedulingClass schedulingClass = SchedulingClass.ANY;
    private boolean deferrable;
    private long lastStartMicros = NEVER;
    private long waitingSinceMicros = NEVER;

    ActiveJob(JobRecord record, ProgressRecord progress, long nowMicros) {
        this.spec = record.spec();
        this.acceptedMicros = record.acceptedMicros();
        this.sinceMicros = nowMicros;
        this.done = TreeRangeSet.create(progress.done());
        this.doneCount = ProgressRecord.count(done);
        this.claimed = Math.max(record.claimed(), progress.claimed());
        this.claimWanted = claimed;
        this.fresh = claimed;
        for (int i = 0; i < claimed; i++) {
            if (!done.contains(i)) {
                unconfirmed.add(i);
            }
        }
    }

    JobSpec spec() {
        return spec;
    }

    /** The time of day at which it was accepted. */
    long acceptedMicros() {
        return acceptedMicros;
    }

    /** When this leader learnt of it, on the steady clock. */
    long sinceMicros() {
        return sinceMicros;
    }

    /** Whether it is a service whose start its users wait for: it goes before all other work. */
    boolean isLive() {
        return spec.service() && !Priority.HIGH.above(spec.priority());
    }

    // ---- life cycle --------------------------------------------------------------------------------------------

    Phase phase() {
        return phase;
    }

    boolean isOpen() {
        return phase == Phase.OPEN;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.allows(next)) {
            throw new IllegalStateException("job " + spec.id() + " can't go from " + phase + " to " + next);
        }
        LOG.info("job {}: {} -> {} ({})", spec.id(), phase, next, why);
        phase = next;
    }

    /** All its tasks are done, which is still to be recorded. */
    void allTasksDone() {
        transition(Phase.ENDING, "all tasks done");
    }

    /** Its final state is on record. */
    void over(String how) {
        transition(Phase.OVER, how);
    }

    // ---- counts ------------------------------------------------------------------------------------------------

    /** Running in the paper's sense: handed out and not known to be over. */
    int running() {
        return placements.size() + unconfirmed.size();
    }

    int left() {
        return spec.tasks() - doneCount;
    }

    /** Tasks that could start now if there were room, claimed or not. */
    int waiting() {
        return phase == Phase.OPEN ? left() - running() : 0;
    }

    /** The finished tasks, as ranges of their numbers. */
    RangeSet<Integer> done() {
        return done;
    }

    boolean isDone(int task) {
        return done.contains(task);
    }

    // ---- claims ------------------------------------------------------------------------------------------------

    /** Tasks below this are ours by record. */
    int claimed() {
        return claimed;
    }

    /** A larger claim is on record. */
    void claimRecorded(int tasks) {
        claimed = tasks;
    }

    /** The claim that was asked for last, on record or not. */
    int claimWanted() {
        return claimWanted;
    }

    void claimRequested(int tasks) {
        claimWanted = tasks;
    }

    /** Tasks at or above this were never handed out. */
    int firstNeverStarted() {
        return fresh;
    }

    boolean hasClaimedTask() {
        return !free.isEmpty() || fresh < claimed;
    }

    // ---- tasks -------------------------------------------------------------------------------------------------

    /** Takes the next task number to start. */
    int takeTask() {
        if (!free.isEmpty()) {
            int task = free.firstInt();
            free.remove(task);
            return task;
        }
        return fresh++;
    }

    /** Takes this task number, which is free, to start. */
    void takeTask(int task) {
        free.remove(task);
    }

    /** The lowest task number that was started before and is free again. */
    int firstFreed() {
        return free.firstInt();
    }

    Collection<Placement> placements() {
        return placementsView;
    }

    /** Where this task is placed, or null. */
    Placement placement(int task) {
        return placements.get(task);
    }

    boolean hasPlacements() {
        return !placements.isEmpty();
    }

    void place(Placement placement) {
        int task = placement.task().index();
        placements.put(task, placement);
        zoneCounts.addTo(placement.machine().zone(), 1);
        unconfirmed.remove(task);
        free.remove(task);
    }

    /** The placement is proved gone; {@code elsewhere}: but the task may be on another machine. */
    void unplace(Placement placement, boolean elsewhere) {
        int task = placement.task().index();
        if (!placements.remove(task, placement)) {
            return;
        }
        zoneCounts.addTo(placement.machine().zone(), -1);
        if (!done.contains(task) && phase != Phase.OVER) {
            if (elsewhere) {
                unconfirmed.add(task);
            } else {
                free.add(task);
            }
        }
    }

    void markDone(int task) {
        if (!done.contains(task)) {
            ProgressRecord.addTask(done, task);
            doneCount++;
        }
        free.remove(task);
        unconfirmed.remove(task);
    }

    /** A task of a gang has completed: all have. */
    void markAllDone() {
        ProgressRecord.addTasks(done, spec.tasks());
        doneCount = spec.tasks();
        free.clear();
        unconfirmed.clear();
    }

    // ---- unconfirmed tasks -------------------------------------------------------------------------------------

    /** How many claimed tasks may run on machines that are still to be heard. */
    int unconfirmedTasks() {
        return unconfirmed.size();
    }

    /** Every machine that could have held a task of ours was heard or is proved gone. */
    void resolveUnconfirmed() {
        free.addAll(unconfirmed);
        unconfirmed.clear();
    }

    // ---- zones -------------------------------------------------------------------------------------------------

    /** Whether one more task may stand in this zone; tasks unconfirmed may stand anywhere. */
    boolean zoneAllows(String zone) {
        if (spec.oneZone()) {
            if (!unconfirmed.isEmpty()) {
                return false;
            }
            for (var entry : zoneCounts.object2IntEntrySet()) {
                if (entry.getIntValue() > 0 && !entry.getKey().equals(zone)) {
                    return false;
                }
            }
        }
        return !spec.spread() || zoneCounts.getInt(zone) + unconfirmed.size() + 1 <= spec.zoneCap();
    }

    /** How many of its tasks are placed in each zone. */
    Map<String, Integer> tasksByZone() {
        return Collections.unmodifiableMap(zoneCounts);
    }

    // ---- run times ---------------------------------------------------------------------------------------------

    /** A task that this term has seen from its start on has run to its end. */
    void taskFinished(long micros) {
        ranMicros += micros;
        ranCount++;
    }

    /** Run time of those of its tasks that finished in this term, together. */
    double finishedMicros() {
        return ranMicros;
    }

    /** How many of its tasks finished in this term, run time known. */
    int finishedTasks() {
        return ranCount;
    }

    // ---- what the scheduler notes ------------------------------------------------------------------------------

    SchedulingClass schedulingClass() {
        return schedulingClass;
    }

    void classify(SchedulingClass next) {
        schedulingClass = next;
    }

    /** Whether it can wait for cheap room. */
    boolean deferrable() {
        return deferrable;
    }

    void setDeferrable(boolean canWait) {
        deferrable = canWait;
    }

    /** Before this none of its tasks is started. */
    long notBeforeMicros() {
        return notBeforeMicros;
    }

    void startNothingBefore(long micros) {
        notBeforeMicros = micros;
    }

    /** Since when tasks wait without room; negative when none does. */
    long waitingSinceMicros() {
        return waitingSinceMicros;
    }

    boolean isWaiting() {
        return waitingSinceMicros != NEVER;
    }

    /** It is seen to have tasks that wait. */
    void waits(long nowMicros) {
        if (!isWaiting()) {
            waitingSinceMicros = nowMicros;
        }
    }

    void waitsNoMore() {
        waitingSinceMicros = NEVER;
    }

    /** When a task of it was last placed; negative: not in this term. */
    long lastStartMicros() {
        return lastStartMicros;
    }

    void taskStarted(long nowMicros) {
        lastStartMicros = nowMicros;
    }

    /** When it last had a task on a machine, as far as this term knows; negative: never. */
    long lastRunningMicros() {
        return lastRunningMicros;
    }

    void seenRunning(long nowMicros) {
        lastRunningMicros = nowMicros;
    }

    // ---- gangs -------------------------------------------------------------------------------------------------

    /** The attempt of a gang that is on machines; null: none, or another shape. */
    GangAttempt gangAttempt() {
        return gangAttempt;
    }

    /** An attempt with this number is the present one from now on. */
    GangAttempt beginGangAttempt(long number) {
        gangAttempt = new GangAttempt(spec.id(), number);
        return gangAttempt;
    }

    void forgetGangAttempt() {
        gangAttempt = null;
    }

    /** Since when machines are reserved for this gang; negative when none is. */
    long reservedSinceMicros() {
        return reservedSinceMicros;
    }

    boolean holdsReservation() {
        return reservedSinceMicros != NEVER;
    }

    void reservationBegins(long nowMicros) {
        reservedSinceMicros = nowMicros;
    }

    void reservationEnds() {
        reservedSinceMicros = NEVER;
    }

    /** No machine is reserved for this gang again before then. */
    long noReservationUntilMicros() {
        return noReservationUntilMicros;
    }

    void reserveNothingUntil(long micros) {
        noReservationUntilMicros = micros;
    }
}
