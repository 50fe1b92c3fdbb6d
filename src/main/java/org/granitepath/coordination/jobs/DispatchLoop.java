package org.granitepath.coordination.jobs;

import java.util.function.BooleanSupplier;
import org.granitepath.storage.Timers;

/**
 * Puts scheduling passes and the sending of commands together. A pass over a large fleet takes its time: the next one
 * waits for several times as long, for the sake of the heartbeats that come meanwhile.
 */
public final class DispatchLoop {
    private static final long DELAY_MICROS = 2_000;
    /** The next pass comes no sooner than this many times as long as the last one took. */
    private static final int PASS_SPACING = 4;

    private static final long LONGEST_PASS_SPACING_MICROS = 250_000;

    private final Timers timers;
    private final BooleanSupplier ended;
    private final BooleanSupplier mayStart;
    private final Runnable pass;
    private final Runnable send;
    private long passDueMicros;
    private boolean passRequested;
    private boolean timerSet;

    /**
     * Nothing runs before it is asked for.
     *
     * @param mayStart whether a task may be started now; without that a pass would be of no use
     * @param pass one scheduling pass
     * @param send sends the commands that are due
     */
    public DispatchLoop(Timers timers, BooleanSupplier ended, BooleanSupplier mayStart, Runnable pass, Runnable send) {
        this.timers = timers;
        this.ended = ended;
        this.mayStart = mayStart;
        this.pass = pass;
        this.send = send;
    }

    /** Asks for a pass over the waiting jobs and for commands to go out, shortly and together. */
    public void requestPass() {
        passRequested = true;
        requestSend();
    }

    /** Notes that a pass is worth making, whenever the loop runs next. */
    public void notePass() {
        passRequested = true;
    }

    /** Asks for commands to go out shortly. */
    public void requestSend() {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timers.after(Math.max(DELAY_MICROS, passDueMicros - timers.nowMicros()), () -> {
            timerSet = false;
            if (!ended.getAsBoolean()) {
                runPassIfRequested();
                send.run();
            }
        });
    }

    /** Makes a pass at once if one is wanted and due, or asks for it. */
    public void passNowIfDue() {
        if (!passRequested) {
            return;
        }
        if (timers.nowMicros() >= passDueMicros) {
            runPassIfRequested();
        } else {
            requestSend();
        }
    }

    private void runPassIfRequested() {
        // What a pass would stop to make capacity could not be followed by a start while none is allowed.
        if (!passRequested || !mayStart.getAsBoolean()) {
            return;
        }
        long began = timers.nowMicros();
        passRequested = false;
        pass.run();
        long finished = timers.nowMicros();
        passDueMicros = finished + Math.min(LONGEST_PASS_SPACING_MICROS, PASS_SPACING * (finished - began));
    }
}
