package org.granitepath.coordination.jobs;

import java.util.function.BooleanSupplier;
import org.granitepath.storage.Timers;

/**
 * Runs scheduling cycles and sends commands, batching requests for both. A cycle over a large fleet takes long, so the
 * next one waits for a multiple of that time to leave room for the heartbeats that arrive meanwhile.
 */
public final class SchedulingLoop {
    /** Requests within this time are served together. */
    private static final long BATCHING_DELAY_MICROS = 2_000;
    /** The next cycle begins no sooner than this multiple of the duration of the last one. */
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
     * Creates a loop that runs nothing until a request is made.
     *
     * @param termEnded whether the term has ended, after which nothing runs any more
     * @param canStartTasks whether tasks may be started now; otherwise a cycle would be useless
     * @param runCycle runs one scheduling cycle
     * @param sendCommands sends the commands that are due
     */
    public SchedulingLoop(
            Timers timers,
            BooleanSupplier termEnded,
            BooleanSupplier canStartTasks,
            Runnable runCycle,
            Runnable sendCommands) {
        this.timers = timers;
        this.termEnded = termEnded;
        this.canStartTasks = canStartTasks;
        this.runCycle = runCycle;
        this.sendCommands = sendCommands;
    }

    /** Requests a cycle over the waiting jobs, followed by sending commands, both shortly. */
    public void requestCycle() {
        cycleRequested = true;
        requestSend();
    }

    /** Notes that a cycle is needed when the loop runs next, without requesting a run. */
    public void markCycleNeeded() {
        cycleRequested = true;
    }

    /** Requests that commands be sent shortly. */
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

    /** Runs a needed cycle at once if its time has come, or requests it otherwise. */
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
        // While no task may start, a cycle would stop tasks to free capacity without starting others in their place.
        if (!cycleRequested || !canStartTasks.getAsBoolean()) {
            return;
        }
        long startMicros = timers.nowMicros();
        cycleRequested = false;
        runCycle.run();
        long endMicros = timers.nowMicros();
        nextCycleMicros =
                endMicros + Math.min(MAX_CYCLE_SPACING_MICROS, CYCLE_SPACING_FACTOR * (endMicros - startMicros));
    }
}
