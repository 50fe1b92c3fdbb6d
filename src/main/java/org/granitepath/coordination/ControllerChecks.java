package org.granitepath.coordination;

import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/** The checks that every controller makes once a second, whether or not it is the leader. */
final class ControllerChecks {
    private static final long INTERVAL_MICROS = 1_000_000;

    private final RecordReplica replica;
    private final RedirectedMachines redirectedMachines;
    private final CurrentTerm currentTerm;
    private final Leadership leadership;
    private final Peers peers;
    private final MachineTypeCatalog machineTypes;
    private final Timers timers;

    /** Creates the checks; none is made until {@link #run} is called. */
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

    /** Makes all checks now, and schedules the next run in one second. */
    void run() {
        timers.after(INTERVAL_MICROS, this::run);
        if (replica.isLoaded()) {
            replica.requestBarrier(fresh -> {});
        }
        long nowMicros = timers.nowMicros();
        redirectedMachines.removeExpired(nowMicros);
        stepDownIfPartitionedFromWorkers();
        if (currentTerm.isPresent()) {
            machineTypes.refreshIfDue(nowMicros);
        } else {
            machineTypes.fetchIfUnknown();
        }
    }

    private void stepDownIfPartitionedFromWorkers() {
        LeaderTerm leaderTerm = currentTerm.get();
        if (leaderTerm != null && leaderTerm.isPartitionedFromWorkers(peers.maxRedirectedMachines())) {
            leadership.stepDown("most machines reach another controller, but not this one");
        }
    }
}
