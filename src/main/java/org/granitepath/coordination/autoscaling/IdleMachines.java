package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;

/**
 * Detects machines that no work needs: they have been idle for longer than it pays to keep them, and they are not part
 * of the headroom for live services or for gangs.
 */
final class IdleMachines {
    /** How long a machine may be idle if its type, and thus its boot time, is unknown. */
    private static final long UNKNOWN_TYPE_IDLE_MICROS = 30_000_000;

    private final ScalingPolicy policy;
    private final SpareHeadroom spareHeadroom;
    private final GangHeadroom gangHeadroom;
    private final TermRecovery recovery;
    private boolean keepAll;

    /** Creates a detector that must be {@linkplain #refresh refreshed} before its first decision. */
    IdleMachines(ScalingPolicy policy, SpareHeadroom spareHeadroom, GangHeadroom gangHeadroom, TermRecovery recovery) {
        this.policy = policy;
        this.spareHeadroom = spareHeadroom;
        this.gangHeadroom = gangHeadroom;
        this.recovery = recovery;
    }

    /** Reads the present state of the fleet and the recovery. To be called before each round of decisions. */
    void refresh() {
        keepAll = recovery.shouldKeepIdleMachines();
        gangHeadroom.update();
    }

    /**
     * Decides whether no work needs a machine, and records on the machine whether it is kept as headroom for live
     * services. The capacity of a released on-demand machine no longer counts as headroom.
     *
     * @return whether the machine is released
     */
    boolean releaseIfUnneeded(Machine machine, long nowMicros) {
        boolean idle = !keepAll && isIdle(machine, nowMicros) && !gangHeadroom.isNeeded(machine);
        return !keepIfHeadroom(machine, idle) && idle;
    }

    /**
     * Keeps an idle on-demand machine if it is needed as headroom for future live services, and returns whether it is
     * kept. If an idle on-demand machine is not kept, its capacity is subtracted from the headroom.
     */
    private boolean keepIfHeadroom(Machine machine, boolean idle) {
        boolean idleOnDemand = idle && !machine.isSpot();
        long freeCpuMillis = machine.capacity().freeCpuMillis();
        machine.setHeadroom(idleOnDemand && spareHeadroom.isLessThan(freeCpuMillis));
        if (machine.isHeadroom()) {
            return true;
        }
        if (idleOnDemand) {
            spareHeadroom.subtract(freeCpuMillis);
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
     * Returns how long a machine may be idle: the time that a new machine takes to boot, multiplied by a
     * configured factor, so that keeping the machine never costs much more than terminating it. Spot instances have a
     * factor of their own, which is higher by default because they cost little and may not be available again.
     */
    private long idleTimeoutMicros(Machine machine) {
        MachineType type = machine.type();
        if (type == null) {
            return UNKNOWN_TYPE_IDLE_MICROS;
        }
        double factor = machine.isSpot() ? policy.spotIdleTimeoutFactor() : policy.idleTimeoutFactor();
        return (long) (factor * type.bootMicros());
    }
}
