package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.scheduling.Consolidator;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a leader does twice a second: notices that it stood still, checks all machines, empties machines. */
final class PeriodicChecks {
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicChecks.class);
    private static final long INTERVAL_MICROS = 500_000;
    /** Checks that come later than this after they were due: we stood still, or fell far behind. */
    private static final long PAUSE_MICROS = 1_000_000;

    private final TermEnd termEnd;
    private final Leadership leadership;
    private final Fleet fleet;
    private final MachineChecks machineChecks;
    private final TermRecovery recovery;
    private final Consolidator consolidator;
    private final Timers timers;
    private final SchedulingLoop loop;
    private long lastRunMicros;

    /** Checks nothing before it is started; a pause counts from now on. */
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

    /** Begins to check, for as long as the term lasts, and asks for a first scheduling cycle. */
    void start() {
        timers.after(INTERVAL_MICROS, this::run);
        loop.requestCycle();
    }

    private void run() {
        if (termEnd.ended()) {
            return;
        }
        timers.after(INTERVAL_MICROS, this::run);
        long nowMicros = timers.nowMicros();
        excusePause(nowMicros);
        for (Machine machine : List.copyOf(fleet.machines())) {
            machineChecks.check(machine, nowMicros);
        }
        if (recovery.hasResolvedAllMachines() && leadership.isLeaseConfirmed()) {
            consolidator.consolidateIfDue(nowMicros);
        }
        loop.requestCycle();
    }

    /** While this process stood still it received nothing: no machine may be blamed for that. */
    private void excusePause(long nowMicros) {
        long pauseMicros = nowMicros - lastRunMicros - INTERVAL_MICROS;
        lastRunMicros = nowMicros;
        if (pauseMicros > PAUSE_MICROS) {
            LOG.info("we stood still for {} s: no machine counts as unresponsive for that", pauseMicros / 1_000_000);
            fleet.compensateForPause(pauseMicros, nowMicros);
        }
    }
}
