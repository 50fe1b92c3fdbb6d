package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.autoscaling.Autoscaler;
import org.granitepath.coordination.fleet.TakeoverCalls;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.storage.MachineType;

/**
 * The leader's work for one term, as the controller sees it. A new term starts from the records alone; whatever a
 * predecessor may have started is unconfirmed until each machine of the inventory has sent a message under the new
 * fencing token or is proved gone. Made by a {@link LeaderTermFactory}.
 */
public final class LeaderTerm {
    private final TermEnd termEnd;
    private final TermRecords records;
    private final TakeoverCalls takeoverCalls;
    private final HeartbeatHandler heartbeatHandler;
    private final PeriodicChecks checks;
    private final TermMachineTypes machineTypes;
    private final Autoscaler autoscaler;
    private final Fleet fleet;

    /** A term that does nothing before it is started. */
    LeaderTerm(
            TermEnd termEnd,
            TermRecords records,
            TakeoverCalls takeoverCalls,
            HeartbeatHandler heartbeatHandler,
            PeriodicChecks checks,
            TermMachineTypes machineTypes,
            Autoscaler autoscaler,
            Fleet fleet) {
        this.termEnd = termEnd;
        this.records = records;
        this.takeoverCalls = takeoverCalls;
        this.heartbeatHandler = heartbeatHandler;
        this.checks = checks;
        this.machineTypes = machineTypes;
        this.autoscaler = autoscaler;
        this.fleet = fleet;
    }

    /** Begins the term: takes the machines and jobs on record over. */
    public void start() {
        records.takeOver();
        checks.start();
        takeoverCalls.start();
    }

    /** Begins to launch and return machines. */
    public void startAutoscaling() {
        autoscaler.start();
    }

    /** The term is over: nothing of it acts any more. */
    public void end() {
        termEnd.end();
        records.end();
    }

    /** The cloud has told of its machine types. */
    public void onMachineTypesChanged(List<MachineType> types) {
        machineTypes.changed(types);
    }

    /** Keeps the machine types on record, for controllers that start while the cloud is away. */
    public void recordMachineTypes(List<MachineType> types) {
        machineTypes.putOnRecord(types);
    }

    /** How far the recovery has come of what a former leader left. */
    TermRecovery recovery() {
        return records.recovery();
    }

    /** Whether most machines have become unresponsive to us while a peer receives their heartbeats. */
    public boolean isCutOffFromWorkers(int redirectedByPeer) {
        return fleet.isPartitionedFromWorkers(redirectedByPeer);
    }

    /** A worker's heartbeat, answered with what it is to do. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.answer(heartbeat);
    }
}
