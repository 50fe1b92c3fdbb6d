package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines to terminate: those that failed, that nothing needs, or that were to be vacated. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** How long a machine may be idle whose type, and so its time to boot, is not known. */
    private static final long UNKNOWN_TYPE_IDLE_MICROS = 30_000_000;

    private final Config config;
    private final Fleet fleet;
    private final BootingMachines booting;
    private final FailureDetector failureDetector;
    private final SpareHeadroom spareHeadroom;
    private final GangHeadroom gangHeadroom;
    private final TermRecovery recovery;

    /** Decides over the machines of this fleet and those that boot. */
    ScaleIn(
            Config config,
            Fleet fleet,
            BootingMachines booting,
            FailureDetector failureDetector,
            SpareHeadroom spareHeadroom,
            GangHeadroom gangHeadroom,
            TermRecovery recovery) {
        this.config = config;
        this.fleet = fleet;
        this.booting = booting;
        this.failureDetector = failureDetector;
        this.spareHeadroom = spareHeadroom;
        this.gangHeadroom = gangHeadroom;
        this.recovery = recovery;
    }

    /** The machines to terminate now, by name, as many as one request may name. */
    List<String> choose(long nowMicros) {
        List<String> ids = new ArrayList<>();
        chooseFailedToBoot(ids, nowMicros);
        boolean heartbeatsTrusted = failureDetector.canJudgeMachines();
        boolean keepsIdle = recovery.keepsIdleMachines();
        gangHeadroom.survey();
        for (Machine machine : List.copyOf(fleet.machines())) {
            if (ids.size() >= Terminator.MAX_MACHINES_PER_REQUEST) {
                break;
            }
            boolean idle = !keepsIdle && isIdle(machine, nowMicros) && !gangHeadroom.keeps(machine);
            boolean notNeeded = !keptAsHeadroom(machine, idle) && idle;
            TerminationReason reason = reason(machine, heartbeatsTrusted, notNeeded, nowMicros);
            boolean terminating = machine.phase() == Machine.Phase.TERMINATING;
            if (reason != null && !terminating) {
                machine.terminationDecided(reason.text());
            }
            if (reason != null || terminating) {
                ids.add(machine.id());
            }
        }
        return ids;
    }

    private void chooseFailedToBoot(List<String> ids, long nowMicros) {
        for (BootingMachine machine : booting.all()) {
            if (machine.failedToBoot(nowMicros) && ids.size() < Terminator.MAX_MACHINES_PER_REQUEST) {
                long ageSeconds = (nowMicros - machine.launchedMicros()) / MICROS_PER_SECOND;
                LOG.info("machine {} terminating: not up after {} s", machine.id(), ageSeconds);
                ids.add(machine.id());
            }
        }
    }

    /** Whether an idle machine stays for live services to come; if it does not, the headroom shrinks by it. */
    private boolean keptAsHeadroom(Machine machine, boolean idle) {
        boolean idleAtFullPrice = idle && !machine.spot();
        long freeCpuMillis = machine.capacity().cpuFree();
        machine.keepAsHeadroom(idleAtFullPrice && spareHeadroom.needs(freeCpuMillis));
        if (machine.keptAsHeadroom()) {
            return true;
        }
        if (idleAtFullPrice) {
            spareHeadroom.release(freeCpuMillis);
            gangHeadroom.terminated(machine);
        }
        return false;
    }

    /** Why the machine is to be terminated; null: it is not. */
    private @Nullable TerminationReason reason(
            Machine machine, boolean heartbeatsTrusted, boolean notNeeded, long nowMicros) {
        long sinceHeartbeatMicros = nowMicros - machine.contact().lastHeartbeatMicros();
        boolean conclusive = (heartbeatsTrusted && !failureDetector.mayWorkWhileCutOff(machine, nowMicros))
                || sinceHeartbeatMicros > partitionTimeoutMicros();
        if (conclusive && sinceHeartbeatMicros > failureTimeoutMicros(machine)) {
            return TerminationReason.UNRESPONSIVE;
        }
        if (conclusive && isUnreachable(machine, nowMicros)) {
            return TerminationReason.UNREACHABLE;
        }
        if (notNeeded) {
            return TerminationReason.IDLE;
        }
        boolean drained = machine.phase() == Machine.Phase.DRAINING && machine.isEmpty();
        return drained ? TerminationReason.DRAINED : null;
    }

    /** Whether its heartbeats arrive, but our answers and commands have not reached it for a lease. */
    private boolean isUnreachable(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.awaitingFirstHeartbeat()
                && machine.inventory().recorded()
                && nowMicros - machine.unconfirmedSinceMicros()
                        > config.workers().leaseMicros();
    }

    private boolean isIdle(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.READY
                && machine.isEmpty()
                && machine.reservedFor() == null
                && nowMicros - machine.idleSinceMicros() > idleTimeoutMicros(machine)
                && nowMicros - machine.launchedMicros() > Machine.MINIMUM_CHARGE_MICROS;
    }

    /**
     * How long a machine may be idle: as long as a new one would take to boot, so that keeping it never costs much more
     * than terminating it; longer on spot instances, which cost little and may not be had again.
     */
    private long idleTimeoutMicros(Machine machine) {
        if (machine.type() == null) {
            return UNKNOWN_TYPE_IDLE_MICROS;
        }
        ScalingPolicy policy = config.tuning().scaling();
        double share = machine.spot() ? policy.idleShareSpot() : policy.idleShare();
        return (long) (share * machine.type().bootMicros());
    }

    /** How long machines that may only be partitioned are waited for: by then all on them is over in any case. */
    private long partitionTimeoutMicros() {
        return config.workers().cancelMicros() + config.workers().leaseMicros();
    }

    /**
     * How long a machine may send no heartbeat before it is given up. One that answers direct calls lives: after a
     * failover its heartbeats may still be on their way to the former leader.
     */
    private long failureTimeoutMicros(Machine machine) {
        return machine.contact().probeFailed()
                ? failureDetector.unresponsiveTimeoutMicros(machine)
                : config.workers().leaseMicros();
    }
}
