package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.model.Machine;
import org.jspecify.annotations.Nullable;

/** Tells which machines are to be terminated because they failed, or have lost contact for good. */
final class MachineFailures {
    private final WorkerTiming workers;
    private final FailureDetector failureDetector;
    private boolean heartbeatsTrusted;

    /** Trusts no heartbeats before the first survey. */
    MachineFailures(WorkerTiming workers, FailureDetector failureDetector) {
        this.workers = workers;
        this.failureDetector = failureDetector;
    }

    /** Finds anew whether missing heartbeats tell of the machines at all. Called before a round of decisions. */
    void survey() {
        heartbeatsTrusted = failureDetector.canTrustMissedHeartbeats();
    }

    /** Why the machine counts as failed; null: it does not. */
    @Nullable
    TerminationReason reason(Machine machine, long nowMicros) {
        long sinceHeartbeatMicros = nowMicros - machine.contact().lastHeartbeatMicros();
        if (!isConclusive(machine, sinceHeartbeatMicros, nowMicros)) {
            return null;
        }
        if (sinceHeartbeatMicros > failureTimeoutMicros(machine)) {
            return TerminationReason.UNRESPONSIVE;
        }
        return isUnreachable(machine, nowMicros) ? TerminationReason.UNREACHABLE : null;
    }

    /** Whether missing heartbeats tell of the machine, and not of a cut behind which its work goes on. */
    private boolean isConclusive(Machine machine, long sinceHeartbeatMicros, long nowMicros) {
        return (heartbeatsTrusted && !failureDetector.isPartitionedWithPeer(machine, nowMicros))
                || sinceHeartbeatMicros > partitionTimeoutMicros();
    }

    /** Whether its heartbeats arrive, but our answers and commands have not reached it for a lease. */
    private boolean isUnreachable(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.isAwaitingFirstHeartbeat()
                && machine.inventory().isRecorded()
                && nowMicros - machine.unconfirmedSinceMicros() > workers.leaseMicros();
    }

    /** How long machines that may only be partitioned are waited for: by then all on them is over in any case. */
    private long partitionTimeoutMicros() {
        return workers.cancellationTimeoutMicros() + workers.leaseMicros();
    }

    /**
     * How long a machine may send no heartbeat before it is given up. One that answers direct calls lives: after a
     * failover its heartbeats may still be on their way to the former leader.
     */
    private long failureTimeoutMicros(Machine machine) {
        return machine.contact().hasProbeFailed()
                ? failureDetector.unresponsiveTimeoutMicros(machine)
                : workers.leaseMicros();
    }
}
