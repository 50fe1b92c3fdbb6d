package org.granitepath.coordination.jobs;

import java.util.function.BooleanSupplier;
import org.granitepath.storage.Timers;

/**
 * Puts scheduling cycles and the sending of commands together. A cycle over a large fleet takes its time: the next one
 * waits for several times as long, for the sake of the heartbeats that come meanwhile.
 */
public final class SchedulingLoop {
    private static final long BATCHING_DELAY_MICROS = 2_000;
    /** The next cycle comes no sooner than this many times as long as the last one took. */
    private static final int CYCLE_SPACING_FACTOR = 4;

    private static final long MAX_CYCLE_SPACING_MICROS = 250_000;

    private final Timers timers;
    private final BooleanSupplier termEnded;
    private final BooleanSupplier canStartTasks;
    private final Runnable runCycle;
    private final Runnable sendCommands;
    private long nextCycleMicros;
    private boolean cycleRequested;
    private boolean timerScheduled;

    /**
     * Nothing runs before it is asked for.
     *
     * @param mayStart whether a task may be started now; without that a cycle would be of no use
     * @param runCycle one scheduling cycle
     * @param send sends the commands that are due
     */
    public SchedulingLoop(
            Timers timers, BooleanSupplier ended, BooleanSupplier mayStart, Runnable runCycle, Runnable send) {
        this.timers = timers;
        this.termEnded = ended;
        this.canStartTasks = mayStart;
        this.runCycle = runCycle;
        this.sendCommands = send;
    }

    /** Asks for a cycle over the waiting jobs and for commands to go out, shortly and together. */
    public void requestCycle() {
        cycleRequested = true;
        requestSend();
    }

    /** Notes that a cycle is worth making, whenever the loop runs next. */
    public void markCycleNeeded() {
        cycleRequested = true;
    }

    /** Asks for commands to go out shortly. */
    public void requestSend() {
        if (timerScheduled) {
            return;
        }
        timerScheduled = true;
        timers.after(Math.max(BATCHING_DELAY_MICROS, nextCycleMicros - timers.nowMicros()), () -> {
            timerScheduled = false;
            if (!termEnded.getAsBoolean()) {
                runCycleIfRequested();
                sendCommands.run();
            }
        });
    }

    /** Makes a cycle at once if one is wanted and due, or asks for it. */
    public void runCycleIfDue() {
        if (!cycleRequested) {
            return;
        }
        if (timers.nowMicros() >= nextCycleMicros) {
            runCycleIfRequested();
        } else {
            requestSend();
        }
    }

    private void runCycleIfRequested() {
        // What a cycle would stop to make capacity could not be followed by a start while none is allowed.
        if (!cycleRequested || !canStartTasks.getAsBoolean()) {
            return;
        }
        long beganMicros = timers.nowMicros();
        cycleRequested = false;
        runCycle.run();
        long finishedMicros = timers.nowMicros();
        nextCycleMicros = finishedMicros
                + Math.min(MAX_CYCLE_SPACING_MICROS, CYCLE_SPACING_FACTOR * (finishedMicros - beganMicros));
    }
}
