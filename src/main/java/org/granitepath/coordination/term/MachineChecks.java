package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.CommandSender;
import org.granitepath.coordination.fleet.MachineInventory;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;

/** The periodic checks of each machine: its lease, its quarantine, whether it can be reached, and its placements. */
final class MachineChecks {
    private final Config config;
    private final Leadership leadership;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final MachineLifecycle machines;
    private final TaskLifecycle tasks;
    private final CommandSender sender;

    /** Creates the checks for the machines of this fleet. */
    MachineChecks(
            Config config,
            Leadership leadership,
            Fleet fleet,
            MachineInventory inventory,
            MachineLifecycle machines,
            TaskLifecycle tasks,
            CommandSender sender) {
        this.config = config;
        this.leadership = leadership;
        this.fleet = fleet;
        this.inventory = inventory;
        this.machines = machines;
        this.tasks = tasks;
        this.sender = sender;
    }

    /** Makes all checks of one machine. */
    void check(Machine machine, long nowMicros) {
        checkLease(machine);
        machines.endQuarantineIfDue(machine);
        sender.probeIfOverdue(machine, nowMicros);
        sender.sendTokenIfUnacknowledged(machine, nowMicros);
        checkPlacements(machine, nowMicros);
    }

    private void checkLease(Machine machine) {
        if (!hasLeaseProvablyExpired(machine)) {
            return;
        }
        if (machine.contact().isFenced() || !config.topology().hasPeerIn(machine.zone())) {
            machines.expireLease(machine);
        } else {
            inventory.requestToken(machine, "its lease has expired, unless a controller that is cut off renews it");
        }
    }

    /**
     * Returns whether the machine's lease has expired and the store has confirmed since then that this controller is
     * the leader. Without that confirmation the expiry proves nothing: an unknown successor may be renewing the lease.
     */
    private boolean hasLeaseProvablyExpired(Machine machine) {
        long leaseExpiryMicros = machine.contact().leaseExpiryMicros();
        return leaseExpiryMicros > 0 && leadership.lastConfirmedMicros() > leaseExpiryMicros;
    }

    private void checkPlacements(Machine machine, long nowMicros) {
        boolean unresponsive = fleet.isUnresponsive(machine, nowMicros);
        for (Placement placement : List.copyOf(machine.placements())) {
            if (unresponsive && placement.phase() == Placement.Phase.ASSIGNED) {
                tasks.free(placement, "its start was never sent: the machine is unresponsive");
            } else if (placement.phase() == Placement.Phase.STOPPING) {
                tasks.resendStop(placement);
            }
        }
    }
}
