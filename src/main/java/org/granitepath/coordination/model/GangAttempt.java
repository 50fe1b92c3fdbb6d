package org.granitepath.coordination.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to run a gang. The tasks of the attempt share its number and find each other by it. They start together
 * once the last one has its image, and they complete together. The controller learns the state of each task from the
 * heartbeats of its machine, while the tasks learn of each other directly: a gang may be running or broken before any
 * heartbeat reports it.
 */
public final class GangAttempt {
    private static final Logger LOG = LoggerFactory.getLogger(GangAttempt.class);
    private static final long NEVER = -1;

    /**
     * {@code FORMING}: tasks are being started or fetch their images. {@code WAITING}: at least one task has its image
     * and waits for the others. {@code RUNNING}: all tasks run. {@code STOPPING}: all tasks were told to stop, or one
     * is gone and the others exit. {@code COMPLETING}: a task has completed, so all have. The attempt exists until none
     * of its tasks is on a machine any more; no other attempt begins before.
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
    /**
     * The machines to which each task of the attempt was sent. A worker that knows the task and the attempt ignores a
     * second start.
     */
    private final Map<Integer, Set<String>> machinesTried = new HashMap<>();

    /** Creates an attempt with the given number, none of whose tasks is placed. */
    GangAttempt(String job, long number) {
        this.job = job;
        this.number = number;
    }

    /** Returns the number that all tasks of the attempt share. Later attempts have larger numbers. */
    public long number() {
        return number;
    }

    /** Returns the phase of the attempt. */
    public Phase phase() {
        return phase;
    }

    private void transition(Phase next, String why) {
        if (phase != next) {
            LOG.debug("job {} gang attempt {}: {} -> {} ({})", job, number, phase, next, why);
            phase = next;
        }
    }

    /** Notes that a task was placed on the machine or found there. */
    public void recordPlacement(int task, String machine) {
        machinesTried.computeIfAbsent(task, unknown -> new HashSet<>()).add(machine);
    }

    /** Returns whether the task was sent to the machine before, so that its worker would ignore another start. */
    public boolean hasBeenTriedOn(int task, String machine) {
        return machinesTried.getOrDefault(task, Set.of()).contains(machine);
    }

    /** Notes that all tasks are placed, so none is missing any more. */
    public void markAllTasksPlaced() {
        incompleteSinceMicros = NEVER;
    }

    /** Notes that a task waits for the others. Does nothing unless the attempt is {@code FORMING}. */
    public void markWaiting(long nowMicros) {
        if (phase == Phase.FORMING) {
            waitingSinceMicros = nowMicros;
            transition(Phase.WAITING, "a task waits for the others");
        }
    }

    /** Notes that a task runs, which means that all tasks run or have run. */
    public void markRunning() {
        if (phase == Phase.FORMING || phase == Phase.WAITING) {
            transition(Phase.RUNNING, "its tasks are running");
        }
    }

    /** Notes that all tasks are told to stop, by this leader or a previous one. */
    public void markStopping(String why) {
        if (phase != Phase.COMPLETING) {
            transition(Phase.STOPPING, why);
        }
    }

    /** Notes that a task has completed. */
    public void markCompleted() {
        transition(Phase.COMPLETING, "a task has completed");
    }

    /**
     * Notes that a task is proven to be gone. Before the gang has started, another attempt of the task may replace it;
     * a running gang stops.
     */
    public void markTaskGone(long nowMicros) {
        if (phase == Phase.RUNNING) {
            transition(Phase.STOPPING, "a task is gone");
        } else if (incompleteSinceMicros < 0) {
            incompleteSinceMicros = nowMicros;
        }
    }

    /** Returns whether the remaining tasks were told to stop or exit by themselves. */
    public boolean isEnding() {
        return phase == Phase.STOPPING || phase == Phase.COMPLETING;
    }

    /** Returns whether missing tasks may still join the attempt. */
    public boolean canAddTasks() {
        return phase == Phase.FORMING || phase == Phase.WAITING;
    }

    /**
     * Returns whether the tasks on machines should be stopped rather than kept waiting: a task has been missing for too
     * long, or it could not start before the waiting tasks give up.
     *
     * @param maxIncompleteMicros how long a task may be missing
     * @param maxWaitMicros once a task has waited for longer than this, it would give up before a replacement that is
     *     sent now could start
     */
    public boolean shouldBeAbandoned(long nowMicros, long maxIncompleteMicros, long maxWaitMicros) {
        return canAddTasks()
                && incompleteSinceMicros >= 0
                && (nowMicros - incompleteSinceMicros > maxIncompleteMicros
                        || (waitingSinceMicros >= 0 && nowMicros - waitingSinceMicros > maxWaitMicros));
    }
}
