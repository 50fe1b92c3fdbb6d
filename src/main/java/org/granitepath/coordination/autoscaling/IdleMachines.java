package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.MachineType;

/**
 * Detects machines that no work needs: they have been idle for longer than it is worth to keep them, and they are not
 * part of the headroom for live services or for gangs.
 */
final class IdleMachines {
    /** How long a machine may be idle if its type is unknown, and with it the boot time. */
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

    /** Takes the present state of the fleet and the recovery into account. To be called before each round of decisions. */
    void refresh() {
        keepAll = recovery.isKeepingIdleMachines();
        gangHeadroom.update();
    }

    /**
     * Decides whether to release a machine that no work needs, and marks the machine if it is kept as headroom for live
     * services. If the machine is released and is not a spot instance, its capacity no longer counts as headroom.
     *
     * @return whether the machine is released
     */
    boolean releaseIfUnneeded(Machine machine, long nowMicros) {
        boolean idle = !keepAll && isIdle(machine, nowMicros) && !gangHeadroom.isNeeded(machine);
        return !keepIfHeadroom(machine, idle) && idle;
    }

    /**
     * Keeps an idle on-demand machine if it is needed as headroom for future live services, and returns whether it is
     * kept. Otherwise subtracts it from the headroom.
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
     * Returns how long a machine may be idle: the time that a new machine takes to boot times a configured factor, so
     * that to keep the machine never costs much more than to terminate it. Spot instances have a factor of their own,
     * which is higher by default, because they cost little and may not be available again.
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
