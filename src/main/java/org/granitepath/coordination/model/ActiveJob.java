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
 * A job without a final record, as the current leader knows it: which of its tasks are done, placed, free to start or
 * unconfirmed, and the scheduler's notes on it. The state changes only through the methods of this class.
 */
public final class ActiveJob {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveJob.class);

    /**
     * The life cycle of a job. {@code COMPLETING}: all tasks are done, and the final record is still to be stored.
     * {@code ENDED}: the final record is stored.
     */
    public enum Phase {
        OPEN,
        COMPLETING,
        ENDED;

        /** Returns whether a job in this phase may move to the given phase. */
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
    private boolean inheritsClaim = true;
    private double totalRunMicros;
    private int runTimeCount;
    private @Nullable GangAttempt gangAttempt;

    /**
     * Restores a job from its records. Every claimed task that is not done is unconfirmed at first.
     *
     * @param nowMicros the current time on the monotonic clock
     */
    public ActiveJob(JobRecord record, ProgressRecord progress, long nowMicros) {
        this.spec = record.spec();
        this.acceptedMicros = record.acceptedMicros();
        this.firstSeenMicros = nowMicros;
        this.numbers = new TaskNumbers(Math.max(record.claimedTasks(), progress.claimedTasks()), progress.doneTasks());
        this.tasksByZone = new TasksByZone(spec);
    }

    /** Returns the job's specification as its user submitted it. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns the time of day at which the job was accepted. */
    public long acceptedMicros() {
        return acceptedMicros;
    }

    /** Returns the time at which this leader learned of the job, on the monotonic clock. */
    long firstSeenMicros() {
        return firstSeenMicros;
    }

    /**
     * Returns whether the job is a live service: a service of priority HIGH or above, whose users wait for its start.
     * It is scheduled before all other work.
     */
    public boolean isLiveService() {
        return spec.isService() && !Priority.HIGH.isHigherThan(spec.priority());
    }

    /** Returns the scheduler's notes on this job. */
    public SchedulingState scheduling() {
        return scheduling;
    }

    /** Returns the phase of the job's life cycle. */
    public Phase phase() {
        return phase;
    }

    /** Returns whether tasks of this job may still be started. */
    public boolean isOpen() {
        return phase == Phase.OPEN;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException("job " + spec.id() + " cannot move from " + phase + " to " + next);
        }
        LOG.info("job {}: {} -> {} ({})", spec.id(), phase, next, why);
        phase = next;
    }

    /** Moves to {@code COMPLETING}: all tasks are done, and the final record is still to be stored. */
    public void markCompleting() {
        transition(Phase.COMPLETING, "all tasks done");
    }

    /**
     * Moves to {@code ENDED}: the final record is stored, no matter which controller wrote it.
     *
     * @param outcome whether the job is done or was cancelled by its user, for the log
     */
    public void markEnded(String outcome) {
        transition(Phase.ENDED, outcome);
    }

    /** Returns the number of tasks that were handed out and are not known to have ended: placed or unconfirmed. */
    public int runningTasks() {
        return placements.size() + numbers.unconfirmedCount();
    }

    /** Returns the number of tasks that are not done. */
    public int unfinishedTasks() {
        return spec.tasks() - numbers.doneCount();
    }

    /** Returns the number of tasks, claimed or not, that could start now if capacity were free. */
    public int waitingTasks() {
        return phase == Phase.OPEN ? unfinishedTasks() - runningTasks() : 0;
    }

    /** Returns the tasks that are done, as ranges of task numbers. */
    public RangeSet<Integer> doneTasks() {
        return numbers.doneTasks();
    }

    /** Returns whether the given task is done. */
    public boolean isDone(int task) {
        return numbers.isDone(task);
    }

    /** Returns how many tasks are claimed in the store. They are the lowest numbers, and belong to this leader. */
    public int claimedTasks() {
        return numbers.claimedTasks();
    }

    /** Notes that a larger claim, of this many tasks, is stored. */
    public void confirmClaim(int tasks) {
        numbers.confirmClaim(tasks);
    }

    /** Returns the size of the latest requested claim, whether it is stored or not. */
    public int requestedClaim() {
        return numbers.requestedClaim();
    }

    /** Notes that a claim of this many tasks is to be stored. */
    public void requestClaim(int tasks) {
        numbers.requestClaim(tasks);
    }

    /** Returns the lowest task number that was never handed out; all higher numbers were not handed out either. */
    public int firstUnstartedTask() {
        return numbers.firstUnstartedTask();
    }

    /** Returns how many tasks were started before and are free again. */
    public int freedTasks() {
        return numbers.freedCount();
    }

    /** Returns whether a task can be started without storing a further claim. */
    public boolean hasStartableTask() {
        return numbers.hasStartableTask();
    }

    /** Takes the next task to start and returns its number. */
    public int takeTask() {
        return numbers.take();
    }

    /** Takes the given free task in order to start it. Has no effect if the task is already taken. */
    public void takeTask(int task) {
        numbers.take(task);
    }

    /** Returns the lowest number of a task that was started before and is free again; there must be one. */
    public int firstFreedTask() {
        return numbers.firstFreedTask();
    }

    /** Returns the attempts of this job's tasks that are, or may be, on machines, as an unmodifiable view. */
    public Collection<Placement> placements() {
        return placementsView;
    }

    /** Returns the placement of the given task, or null if the task is not placed. */
    public @Nullable Placement placement(int task) {
        return placements.get(task);
    }

    /** Returns whether an attempt of any of this job's tasks is, or may be, on a machine. */
    public boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** Adds the placement of one of this job's tasks. */
    public void addPlacement(Placement placement) {
        int task = placement.task().index();
        placements.put(task, placement);
        tasksByZone.add(placement.machine().zone());
        numbers.markPlaced(task);
    }

    /**
     * Removes a placement that is proven to be gone. Does nothing if its task has another placement by now.
     *
     * @param maybeElsewhere whether the task may be running on another machine, which makes it unconfirmed
     */
    public void removePlacement(Placement placement, boolean maybeElsewhere) {
        int task = placement.task().index();
        if (!placements.remove(task, placement)) {
            return;
        }
        tasksByZone.remove(placement.machine().zone());
        if (phase != Phase.ENDED) {
            numbers.markRemoved(task, maybeElsewhere);
        }
    }

    /** Marks the given task as done. */
    public void markDone(int task) {
        numbers.markDone(task);
    }

    /** Marks all tasks as done. The tasks of a gang complete together, so this applies once one of them is done. */
    public void markAllDone() {
        numbers.markAllDone(spec.tasks());
    }

    /** Returns the number of claimed tasks that may be running on machines whose first heartbeat is awaited. */
    public int unconfirmedTasks() {
        return numbers.unconfirmedCount();
    }

    /** Frees all claimed tasks: they were claimed for this leader's term, so no former leader can have started them. */
    public void confirmOwnClaim() {
        inheritsClaim = false;
        numbers.resolveUnconfirmed();
    }

    /** Returns whether tasks of the job may have been claimed by former leaders. */
    public boolean inheritsClaim() {
        return inheritsClaim;
    }

    /**
     * Frees all unconfirmed tasks. Every machine that could have held a task of this job has sent a heartbeat or is
     * proven to be gone.
     */
    public void resolveUnconfirmed() {
        numbers.resolveUnconfirmed();
    }

    /**
     * Returns whether one more task may be placed in the given zone. An unconfirmed task counts as possibly running in
     * any zone.
     */
    public boolean canPlaceInZone(String zone) {
        return tasksByZone.canPlaceInZone(zone, numbers.unconfirmedCount());
    }

    /** Returns the number of placed tasks by zone, as an unmodifiable view. */
    public Map<String, Integer> tasksByZone() {
        return tasksByZone.asMap();
    }

    /** Adds the run time of a completed task that was observed from its start in this term. */
    public void addRunTime(long runMicros) {
        totalRunMicros += runMicros;
        runTimeCount++;
    }

    /** Returns the sum of all run times added in this term. */
    public double totalRunMicros() {
        return totalRunMicros;
    }

    /** Returns the number of run times added in this term. */
    public int runTimeCount() {
        return runTimeCount;
    }

    /** Returns the current attempt of this gang, or null if none is on machines or the job is not a gang. */
    public @Nullable GangAttempt gangAttempt() {
        return gangAttempt;
    }

    /** Makes a new attempt with the given number the current attempt of this gang and returns it. */
    public GangAttempt beginGangAttempt(long number) {
        GangAttempt attempt = new GangAttempt(spec.id(), number);
        gangAttempt = attempt;
        return attempt;
    }

    /** Removes the current attempt; none of its tasks is on a machine any more. */
    public void clearGangAttempt() {
        gangAttempt = null;
    }
}
