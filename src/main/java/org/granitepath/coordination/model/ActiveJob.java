package org.granitepath.coordination.model;

import com.google.common.collect.RangeSet;
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An unfinished job as its leader sees it: which tasks are done, placed, free to start, or unconfirmed, and what the
 * scheduler has noted of it. State changes through the named methods alone.
 */
public final class ActiveJob {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveJob.class);

    /** {@code ENDING}: all tasks done, to be recorded. {@code OVER}: its final state is on record. */
    public enum Phase {
        OPEN,
        COMPLETING,
        ENDED;

        /** Whether a job may go from this phase to the next one. */
        boolean canTransitionTo(Phase next) {
            return compareTo(next) < 0;
        }
    }

    private final JobSpec spec;
    private final long acceptedMicros;
    private final long firstSeenMicros;
    private final TaskNumbers numbers;
    private final Int2ObjectMap<Placement> placements = new Int2ObjectLinkedOpenHashMap<>();
    private final Collection<Placement> placementsView = Collections.unmodifiableCollection(placements.values());
    private final TasksByZone tasksByZone;
    private final SchedulingState scheduling = new SchedulingState();

    private Phase phase = Phase.OPEN;
    private double totalRunMicros;
    private int measuredTasks;
    private @Nullable GangAttempt gangAttempt;

    /** A job as its records tell; every claimed task that is not done is unconfirmed. */
    public ActiveJob(JobRecord record, ProgressRecord progress, long nowMicros) {
        this.spec = record.spec();
        this.acceptedMicros = record.acceptedMicros();
        this.firstSeenMicros = nowMicros;
        this.numbers = new TaskNumbers(Math.max(record.claimed(), progress.claimed()), progress.done());
        this.tasksByZone = new TasksByZone(spec);
    }

    /** What its user asked for. */
    public JobSpec spec() {
        return spec;
    }

    /** The time of day at which it was accepted. */
    public long acceptedMicros() {
        return acceptedMicros;
    }

    /** When this leader learnt of it, on the steady clock. */
    long firstSeenMicros() {
        return firstSeenMicros;
    }

    /** Whether it is a service whose start its users wait for: it goes before all other work. */
    public boolean isLiveService() {
        return spec.service() && !Priority.HIGH.above(spec.priority());
    }

    /** What the scheduler has noted of it. */
    public SchedulingState scheduling() {
        return scheduling;
    }

    // ---- life cycle --------------------------------------------------------------------------------------------

    /** How far it has come. */
    public Phase phase() {
        return phase;
    }

    /** Whether tasks of it may still start. */
    public boolean isOpen() {
        return phase == Phase.OPEN;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException("job " + spec.id() + " can't go from " + phase + " to " + next);
        }
        LOG.info("job {}: {} -> {} ({})", spec.id(), phase, next, why);
        phase = next;
    }

    /** All its tasks are done, which is still to be recorded. */
    public void markCompleting() {
        transition(Phase.COMPLETING, "all tasks done");
    }

    /** Its final state is on record, whoever wrote it: done, or cancelled by its user. */
    public void markEnded(String outcome) {
        transition(Phase.ENDED, outcome);
    }

    // ---- counts ------------------------------------------------------------------------------------------------

    /** Handed out and not known to be over: placed, or unconfirmed. */
    public int runningTasks() {
        return placements.size() + numbers.unconfirmedCount();
    }

    /** How many of its tasks are not done. */
    public int unfinishedTasks() {
        return spec.tasks() - numbers.doneCount();
    }

    /** Tasks that could start now if there were capacity, claimed or not. */
    public int waitingTasks() {
        return phase == Phase.OPEN ? unfinishedTasks() - runningTasks() : 0;
    }

    /** The finished tasks, as ranges of their numbers. */
    public RangeSet<Integer> doneTasks() {
        return numbers.doneTasks();
    }

    /** Whether this task is done. */
    public boolean isDone(int task) {
        return numbers.isDone(task);
    }

    // ---- claims ------------------------------------------------------------------------------------------------

    /** Tasks below this are ours by record. */
    public int claimedTasks() {
        return numbers.claimedTasks();
    }

    /** A larger claim is on record. */
    public void confirmClaim(int tasks) {
        numbers.confirmClaim(tasks);
    }

    /** The claim that was asked for last, on record or not. */
    public int requestedClaim() {
        return numbers.requestedClaim();
    }

    /** A claim of this many tasks is to be recorded. */
    public void requestClaim(int tasks) {
        numbers.requestClaim(tasks);
    }

    /** Tasks at or above this were never handed out. */
    public int firstUnstartedTask() {
        return numbers.firstUnstartedTask();
    }

    /** Whether a task could be started without a further claim. */
    public boolean hasStartableTask() {
        return numbers.hasStartableTask();
    }

    // ---- tasks -------------------------------------------------------------------------------------------------

    /** Takes the next task number to start. */
    public int takeTask() {
        return numbers.take();
    }

    /** Takes this task number, which is free, to start. */
    public void takeTask(int task) {
        numbers.take(task);
    }

    /** The lowest task number that was started before and is free again. */
    public int firstFreedTask() {
        return numbers.firstFreedTask();
    }

    /** The attempts of its tasks that are on machines, or may be. */
    public Collection<Placement> placements() {
        return placementsView;
    }

    /** Where this task is placed, or null. */
    public @Nullable Placement placement(int task) {
        return placements.get(task);
    }

    /** Whether any attempt of its tasks is on a machine, or may be. */
    public boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** A task of it is placed. */
    public void addPlacement(Placement placement) {
        int task = placement.task().index();
        placements.put(task, placement);
        tasksByZone.add(placement.machine().zone());
        numbers.markPlaced(task);
    }

    /** The placement is proved gone; {@code elsewhere}: but the task may be on another machine. */
    public void removePlacement(Placement placement, boolean elsewhere) {
        int task = placement.task().index();
        if (!placements.remove(task, placement)) {
            return;
        }
        tasksByZone.remove(placement.machine().zone());
        if (phase != Phase.ENDED) {
            numbers.markRemoved(task, elsewhere);
        }
    }

    /** This task is done. */
    public void markDone(int task) {
        numbers.markDone(task);
    }

    /** A task of a gang has completed: all have. */
    public void markAllDone() {
        numbers.markAllDone(spec.tasks());
    }

    // ---- unconfirmed tasks -------------------------------------------------------------------------------------

    /** How many claimed tasks may run on machines still awaited. */
    public int unconfirmedTasks() {
        return numbers.unconfirmedCount();
    }

    /** Every machine that could have held a task of ours has sent a heartbeat or is proved gone. */
    public void resolveUnconfirmed() {
        numbers.resolveUnconfirmed();
    }

    // ---- zones -------------------------------------------------------------------------------------------------

    /** Whether one more task may stand in this zone; tasks unconfirmed may stand anywhere. */
    public boolean canPlaceInZone(String zone) {
        return tasksByZone.canPlaceInZone(zone, numbers.unconfirmedCount());
    }

    /** How many of its tasks are placed in each zone. */
    public Map<String, Integer> tasksByZone() {
        return tasksByZone.asMap();
    }

    // ---- run times ---------------------------------------------------------------------------------------------

    /** A task that this term has seen from its start on has run to its end. */
    public void addRunTime(long runMicros) {
        totalRunMicros += runMicros;
        measuredTasks++;
    }

    /** Run time of those of its tasks that finished in this term, together. */
    public double totalRunMicros() {
        return totalRunMicros;
    }

    /** How many of its tasks finished in this term, run time known. */
    public int measuredTasks() {
        return measuredTasks;
    }

    // ---- gangs -------------------------------------------------------------------------------------------------

    /** The attempt of a gang that is on machines; null: none, or another shape. */
    public @Nullable GangAttempt gangAttempt() {
        return gangAttempt;
    }

    /** An attempt with this number is the present one from now on. */
    public GangAttempt beginGangAttempt(long number) {
        GangAttempt attempt = new GangAttempt(spec.id(), number);
        gangAttempt = attempt;
        return attempt;
    }

    /** No task of the attempt is on a machine any more. */
    public void clearGangAttempt() {
        gangAttempt = null;
    }
}
