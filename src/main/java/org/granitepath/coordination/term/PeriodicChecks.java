package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.scheduling.Consolidator;
import org.granitepath.storage.Micros;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The checks that a leader makes twice a second: it detects pauses of its own process, checks all machines, and
 * consolidates work so that machines become empty.
 */
final class PeriodicChecks {
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicChecks.class);
    private static final long INTERVAL_MICROS = 500_000;
    /** A delay of the checks beyond this bound means that the process was paused or has fallen far behind. */
    private static final long PAUSE_THRESHOLD_MICROS = 1_000_000;

    private final TermEnd termEnd;
    private final Leadership leadership;
    private final Fleet fleet;
    private final MachineChecks machineChecks;
    private final TermRecovery recovery;
    private final Consolidator consolidator;
    private final Timers timers;
    private final SchedulingLoop loop;
    private long lastRunMicros;

    /** Creates the checks, which do nothing until they are started. Pauses are detected from now on. */
    PeriodicChecks(
            TermEnd termEnd,
            Leadership leadership,
            Fleet fleet,
            MachineChecks machineChecks,
            TermRecovery recovery,
            Consolidator consolidator,
            Timers timers,
            SchedulingLoop loop) {
        this.termEnd = termEnd;
        this.leadership = leadership;
        this.fleet = fleet;
        this.machineChecks = machineChecks;
        this.recovery = recovery;
        this.consolidator = consolidator;
        this.timers = timers;
        this.loop = loop;
        this.lastRunMicros = timers.nowMicros();
    }

    /** Starts the checks, which run until the term ends, and requests a first scheduling cycle. */
    void start() {
        timers.after(INTERVAL_MICROS, this::run);
        loop.requestCycle();
    }

    private void run() {
        if (termEnd.isEnded()) {
            return;
        }
        timers.after(INTERVAL_MICROS, this::run);
        long nowMicros = timers.nowMicros();
        detectPause(nowMicros);
        for (Machine machine : List.copyOf(fleet.machines())) {
            machineChecks.check(machine, nowMicros);
        }
        if (recovery.hasResolvedAllMachines() && leadership.isLeaseConfirmed()) {
            consolidator.consolidateIfDue(nowMicros);
        }
        loop.requestCycle();
    }

    /**
     * Detects a pause of this process. The process received nothing during the pause, so no machine may count as
     * unresponsive because of it.
     */
    private void detectPause(long nowMicros) {
        long pauseMicros = nowMicros - lastRunMicros - INTERVAL_MICROS;
        lastRunMicros = nowMicros;
        if (pauseMicros > PAUSE_THRESHOLD_MICROS) {
            LOG.info(
                    "this process was paused for {} s: the pause does not count towards machine timeouts",
                    pauseMicros / Micros.PER_SECOND);
            fleet.compensateForPause(pauseMicros, nowMicros);
        }
    }
}
