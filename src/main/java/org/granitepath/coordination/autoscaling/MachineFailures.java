package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.model.Machine;
import org.jspecify.annotations.Nullable;

/** Detects machines that are to be terminated because they failed or lost contact permanently. */
final class MachineFailures {
    private final WorkerTiming workers;
    private final FailureDetector failureDetector;
    private boolean overdueHeartbeatsConclusive;

    /** Creates a detector that draws no conclusions from overdue heartbeats before the first {@link #refresh}. */
    MachineFailures(WorkerTiming workers, FailureDetector failureDetector) {
        this.workers = workers;
        this.failureDetector = failureDetector;
    }

    /**
     * Determines again whether overdue heartbeats indicate failed machines, rather than a loss of this controller's own
     * connection. To be called before each round of decisions.
     */
    void refresh() {
        overdueHeartbeatsConclusive = failureDetector.canTrustMissedHeartbeats();
    }

    /** Returns why the machine counts as failed, or null if it does not. */
    @Nullable
    TerminationReason failureReason(Machine machine, long nowMicros) {
        long sinceHeartbeatMicros = nowMicros - machine.contact().lastHeartbeatMicros();
        if (!isConclusive(machine, sinceHeartbeatMicros, nowMicros)) {
            return null;
        }
        if (sinceHeartbeatMicros > failureTimeoutMicros(machine)) {
            return TerminationReason.UNRESPONSIVE;
        }
        return isUnreachable(machine, nowMicros) ? TerminationReason.UNREACHABLE : null;
    }

    /**
     * Returns whether missing heartbeats indicate a failure of the machine, rather than a network partition during
     * which the work on the machine continues.
     */
    private boolean isConclusive(Machine machine, long sinceHeartbeatMicros, long nowMicros) {
        return (overdueHeartbeatsConclusive && !failureDetector.isPartitionedWithPeer(machine, nowMicros))
                || sinceHeartbeatMicros > partitionTimeoutMicros();
    }

    /**
     * Returns whether heartbeats of the machine arrive, but answers and commands of this controller have not reached
     * the machine for the duration of a lease.
     */
    private boolean isUnreachable(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.isAwaitingFirstHeartbeat()
                && machine.inventory().isRecorded()
                && nowMicros - machine.unconfirmedSinceMicros() > workers.leaseMicros();
    }

    /**
     * Returns how long the controller waits for a machine that may only be partitioned. After that time all tasks on
     * the machine have ended in any case.
     */
    private long partitionTimeoutMicros() {
        return workers.cancellationTimeoutMicros() + workers.leaseMicros();
    }

    /**
     * Returns how long a machine may send no heartbeat before it counts as failed. A machine that answers direct calls
     * is alive and gets more time: after a failover, its heartbeats may still be on their way to the former leader.
     */
    private long failureTimeoutMicros(Machine machine) {
        return machine.contact().hasProbeFailed()
                ? failureDetector.unresponsiveTimeoutMicros(machine)
                : workers.leaseMicros();
    }
}
