package org.granitepath.coordination.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt of a gang. Its tasks share the attempt's number, by which they find each other; they start together when
 * the last one has its image, and they complete together. What a task does is told by heartbeats of its machine, and
 * the others may know better: a gang may be running, or broken, before a heartbeat says so.
 */
public final class GangAttempt {
    private static final Logger LOG = LoggerFactory.getLogger(GangAttempt.class);
    private static final long NEVER = -1;

    /**
     * {@code FORMING}: starts are under way or images are fetched. {@code WAITING}: a task has its image and waits for
     * the others. {@code RUNNING}: all run. {@code STOPPING}: all were told to stop, or one is gone and the others
     * exit. {@code ENDING}: a task has completed, so all have. Until no task is on a machine any more, the attempt
     * lives, and no other begins.
     */
    public enum Phase {
        FORMING,
        WAITING,
        RUNNING,
        STOPPING,
        COMPLETING
    }

    private final String job;
    private final long number;
    private Phase phase = Phase.FORMING;
    private long waitingSinceMicros = NEVER;
    private long incompleteSinceMicros = NEVER;
    /** Where each task of the attempt was sent: a worker that knows this task and attempt ignores a second start. */
    private final Map<Integer, Set<String>> machinesTried = new HashMap<>();

    /** An attempt with this number, of which nothing is known yet. */
    GangAttempt(String job, long number) {
        this.job = job;
        this.number = number;
    }

    /** The number that its tasks share; later attempts have larger ones. */
    public long number() {
        return number;
    }

    /** How far it has come. */
    public Phase phase() {
        return phase;
    }

    private void transition(Phase next, String why) {
        if (phase != next) {
            LOG.debug("job {} gang attempt {}: {} -> {} ({})", job, number, phase, next, why);
            phase = next;
        }
    }

    /** A task was placed on a machine, or found there. */
    public void recordPlacement(int task, String machine) {
        machinesTried.computeIfAbsent(task, unknown -> new HashSet<>()).add(machine);
    }

    /** Whether a start of this task would be ignored there. */
    public boolean hasBeenTriedOn(int task, String machine) {
        return machinesTried.getOrDefault(task, Set.of()).contains(machine);
    }

    /** All tasks are placed, so none is missing any more. */
    public void markAllTasksPlaced() {
        incompleteSinceMicros = NEVER;
    }

    /** A task waits for the others. */
    public void markWaiting(long nowMicros) {
        if (phase == Phase.FORMING) {
            waitingSinceMicros = nowMicros;
            transition(Phase.WAITING, "a task waits for the others");
        }
    }

    /** A task runs, so all do, or did. */
    public void markRunning() {
        if (phase == Phase.FORMING || phase == Phase.WAITING) {
            transition(Phase.RUNNING, "its tasks run");
        }
    }

    /** All tasks are told to stop, or were told by a former leader. */
    public void markStopping(String why) {
        if (phase != Phase.COMPLETING) {
            transition(Phase.STOPPING, why);
        }
    }

    /** A task has completed. */
    public void markCompleted() {
        transition(Phase.COMPLETING, "a task has completed");
    }

    /** A task is proved gone. Before the gang has started another may take its place; otherwise the attempt is over. */
    public void markTaskGone(long nowMicros) {
        if (phase == Phase.RUNNING) {
            transition(Phase.STOPPING, "a task is gone");
        } else if (incompleteSinceMicros < 0) {
            incompleteSinceMicros = nowMicros;
        }
    }

    /** Whether the tasks that are left exit by themselves or were told to. */
    public boolean isEnding() {
        return phase == Phase.STOPPING || phase == Phase.COMPLETING;
    }

    /** Whether tasks that are missing may still join. */
    public boolean canAddTasks() {
        return phase == Phase.FORMING || phase == Phase.WAITING;
    }

    /**
     * Whether the tasks that are there had better be stopped than left to wait: tasks have been missing for long, or
     * could not start before those that wait give up.
     *
     * @param longestIncompleteMicros for how long a task may be missing
     * @param longestWaitMicros for how long a task may have waited when a start is still worth sending
     */
    public boolean shouldBeAbandoned(long nowMicros, long longestIncompleteMicros, long longestWaitMicros) {
        return canAddTasks()
                && incompleteSinceMicros >= 0
                && (nowMicros - incompleteSinceMicros > longestIncompleteMicros
                        || (waitingSinceMicros >= 0 && nowMicros - waitingSinceMicros > longestWaitMicros));
    }
}
