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

/** The machines and jobs on record: the new leader's when its term starts, and nobody's concern here when it ends. */
final class TermRecords {
    private static final Logger LOG = LoggerFactory.getLogger(TermRecords.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final TermRecovery recovery;
    private final JobLifecycle jobs;

    /** Takes nothing over before it is asked to. */
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

    /** Takes over what is on record. The machines come first: jobs are judged by which of them are still awaited. */
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

    /** How far the recovery has come of what a former leader left. */
    TermRecovery recovery() {
        return recovery;
    }

    /** The term is over: changes of records mean nothing to it any more. */
    void end() {
        jobs.end();
        recovery.plan().end();
    }
}
