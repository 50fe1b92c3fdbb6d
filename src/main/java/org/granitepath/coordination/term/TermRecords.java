package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.fleet.MachineInventory;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.RecordReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes over the recorded machines and jobs when a term starts, and stops following them when it ends. */
final class TermRecords {
    private static final Logger LOG = LoggerFactory.getLogger(TermRecords.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final TermRecovery recovery;
    private final JobLifecycle jobs;

    /** Creates the component; nothing is taken over until {@link #takeOver} is called. */
    TermRecords(
            Leadership.Term term,
            RecordReplica replica,
            Fleet fleet,
            MachineInventory inventory,
            TermRecovery recovery,
            JobLifecycle jobs) {
        this.term = term;
        this.replica = replica;
        this.fleet = fleet;
        this.inventory = inventory;
        this.recovery = recovery;
        this.jobs = jobs;
    }

    /**
     * Takes over the recorded machines and jobs. The machines come first, because the state of a job's tasks depends on
     * which machines are still awaited.
     */
    void takeOver() {
        List<Machine> takenOver = inventory.takeOver();
        fleet.takeOver(takenOver);
        recovery.start(takenOver, inventory.unreadablePartCount(), replica.storeRevision());
        jobs.start();
        LOG.info(
                "term with fencing token {}: {} machines taken over",
                term.fencingToken(),
                fleet.machines().size());
    }

    /** Returns the recovery of the work that the previous leader left. */
    TermRecovery recovery() {
        return recovery;
    }

    /** Stops processing changes of the records, because the term has ended. */
    void end() {
        jobs.end();
        recovery.plan().end();
    }
}
