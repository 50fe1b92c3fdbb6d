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
 * The leader's work during one term, as the controller uses it. A new term starts from the records alone. Tasks that an
 * earlier leader may have started stay unconfirmed until each machine of the inventory has sent a message under the new
 * fencing token or is proven to be gone. Created by {@link LeaderTermFactory}.
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

    /** Creates a term, which does nothing until it is started. */
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

    /** Starts the term: takes over the recorded machines and jobs, and starts the periodic checks. */
    public void start() {
        records.takeOver();
        checks.start();
        takeoverCalls.start();
    }

    /** Starts launching and terminating machines. */
    public void startAutoscaling() {
        autoscaler.start();
    }

    /** Ends the term: none of its components acts any more. */
    public void end() {
        termEnd.end();
        records.end();
    }

    /** Replaces the machine types that the fleet uses. */
    public void onMachineTypesChanged(List<MachineType> types) {
        machineTypes.onTypesChanged(types);
    }

    /** Writes the machine types to the store, for controllers that start while the cloud is unreachable. */
    public void recordMachineTypes(List<MachineType> types) {
        machineTypes.recordTypes(types);
    }

    /** Returns the recovery of the work that the previous leader left. */
    TermRecovery recovery() {
        return records.recovery();
    }

    /**
     * Returns whether most machines have become unresponsive to this controller while a peer receives their heartbeats.
     *
     * @param redirectedByPeer the highest number of redirected machines that any peer reports; negative: unknown
     */
    public boolean isPartitionedFromWorkers(int redirectedByPeer) {
        return fleet.isPartitionedFromWorkers(redirectedByPeer);
    }

    /** Processes a worker's heartbeat and returns the response, which contains the commands for the worker. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.handle(heartbeat);
    }
}
