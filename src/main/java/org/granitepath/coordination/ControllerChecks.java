package org.granitepath.coordination;

import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/** What each controller does every second, leader or not. */
final class ControllerChecks {
    private static final long INTERVAL_MICROS = 1_000_000;

    private final RecordReplica replica;
    private final RedirectedMachines redirectedMachines;
    private final CurrentTerm currentTerm;
    private final Leadership leadership;
    private final Peers peers;
    private final MachineTypeCatalog machineTypes;
    private final Timers timers;

    /** Checks nothing before it is run. */
    ControllerChecks(
            RecordReplica replica,
            RedirectedMachines redirectedMachines,
            CurrentTerm currentTerm,
            Leadership leadership,
            Peers peers,
            MachineTypeCatalog machineTypes,
            Timers timers) {
        this.replica = replica;
        this.redirectedMachines = redirectedMachines;
        this.currentTerm = currentTerm;
        this.leadership = leadership;
        this.peers = peers;
        this.machineTypes = machineTypes;
        this.timers = timers;
    }

    /** Makes all checks now and again every second. */
    void run() {
        timers.after(INTERVAL_MICROS, this::run);
        if (replica.loaded()) {
            replica.barrier(fresh -> {});
        }
        long nowMicros = timers.nowMicros();
        redirectedMachines.forgetOld(nowMicros);
        stepDownIfCutFromWorkers();
        if (currentTerm.isPresent()) {
            machineTypes.refreshIfDue(nowMicros);
        } else {
            machineTypes.fetchIfUnknown();
        }
    }

    private void stepDownIfCutFromWorkers() {
        LeaderTerm leaderTerm = currentTerm.get();
        if (leaderTerm != null && leaderTerm.isCutOffFromWorkers(peers.maxRedirectedMachines())) {
            leadership.stepDown("the machines reach the others, but not us");
        }
    }
}
