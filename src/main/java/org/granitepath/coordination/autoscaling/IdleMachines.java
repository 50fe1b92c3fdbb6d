package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;

/** Tells which machines nothing needs: idle for longer than it pays to keep them, and no part of any headroom. */
final class IdleMachines {
    /** How long a machine may be idle whose type, and so its time to boot, is not known. */
    private static final long UNKNOWN_TYPE_IDLE_MICROS = 30_000_000;

    private final ScalingPolicy policy;
    private final SpareHeadroom spareHeadroom;
    private final GangHeadroom gangHeadroom;
    private final TermRecovery recovery;
    private boolean keepsAll;

    /** Knows nothing of the fleet before the first survey. */
    IdleMachines(ScalingPolicy policy, SpareHeadroom spareHeadroom, GangHeadroom gangHeadroom, TermRecovery recovery) {
        this.policy = policy;
        this.spareHeadroom = spareHeadroom;
        this.gangHeadroom = gangHeadroom;
        this.recovery = recovery;
    }

    /** Looks at the fleet and the recovery anew. Called before a round of decisions. */
    void survey() {
        keepsAll = recovery.isKeepingIdleMachines();
        gangHeadroom.update();
    }

    /** Whether nothing needs the machine. It counts as given up then, and the headroom is smaller by it. */
    boolean releases(Machine machine, long nowMicros) {
        boolean idle = !keepsAll && isIdle(machine, nowMicros) && !gangHeadroom.isNeeded(machine);
        return !keptAsHeadroom(machine, idle) && idle;
    }

    /** Whether an idle machine stays for live services to come; if it does not, the headroom shrinks by it. */
    private boolean keptAsHeadroom(Machine machine, boolean idle) {
        boolean idleAtFullPrice = idle && !machine.isSpot();
        long freeCpuMillis = machine.capacity().freeCpuMillis();
        machine.setHeadroom(idleAtFullPrice && spareHeadroom.needs(freeCpuMillis));
        if (machine.isHeadroom()) {
            return true;
        }
        if (idleAtFullPrice) {
            spareHeadroom.release(freeCpuMillis);
            gangHeadroom.onMachineTerminated(machine);
        }
        return false;
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
        MachineType type = machine.type();
        if (type == null) {
            return UNKNOWN_TYPE_IDLE_MICROS;
        }
        double share = machine.isSpot() ? policy.spotIdleTimeoutFactor() : policy.idleTimeoutFactor();
        return (long) (share * type.bootMicros());
    }
}
