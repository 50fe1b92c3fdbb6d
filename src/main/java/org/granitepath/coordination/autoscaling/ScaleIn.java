package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Micros;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Chooses the machines to terminate: those that failed, that no work needs, or that were drained. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    private final Fleet fleet;
    private final BootingMachines booting;
    private final MachineFailures failures;
    private final IdleMachines idleMachines;

    /** Creates an object that chooses among the machines of this fleet and the booting machines. */
    ScaleIn(
            Config config,
            Fleet fleet,
            BootingMachines booting,
            FailureDetector failureDetector,
            SpareHeadroom spareHeadroom,
            GangHeadroom gangHeadroom,
            TermRecovery recovery) {
        this.fleet = fleet;
        this.booting = booting;
        this.failures = new MachineFailures(config.workers(), failureDetector);
        this.idleMachines = new IdleMachines(config.tuning().scaling(), spareHeadroom, gangHeadroom, recovery);
    }

    /**
     * Chooses the machines to terminate now, at most as many as one request may name. Machines that the cloud has not
     * terminated yet are chosen again.
     *
     * @return the names of the machines
     */
    List<String> chooseMachines(long nowMicros) {
        List<String> ids = new ArrayList<>();
        addMachinesThatFailedToBoot(ids, nowMicros);
        failures.refresh();
        idleMachines.refresh();
        for (Machine machine : List.copyOf(fleet.machines())) {
            if (ids.size() >= Terminator.MAX_MACHINES_PER_REQUEST) {
                break;
            }
            if (decideTermination(machine, nowMicros)) {
                ids.add(machine.id());
            }
        }
        return ids;
    }

    private void addMachinesThatFailedToBoot(List<String> ids, long nowMicros) {
        for (BootingMachine machine : booting.all()) {
            if (machine.hasFailedToBoot(nowMicros) && ids.size() < Terminator.MAX_MACHINES_PER_REQUEST) {
                long ageSeconds = (nowMicros - machine.launchedMicros()) / Micros.PER_SECOND;
                LOG.info(
                        "machine {} sent no heartbeat within {} s of its launch; terminating it",
                        machine.id(),
                        ageSeconds);
                ids.add(machine.id());
            }
        }
    }

    /**
     * Decides whether to request the termination of the machine, for the first time or again, and moves the machine to
     * the phase {@code TERMINATING} if so.
     */
    private boolean decideTermination(Machine machine, long nowMicros) {
        TerminationReason reason = terminationReason(machine, nowMicros);
        if (machine.phase() == Machine.Phase.TERMINATING) {
            return true;
        }
        if (reason != null) {
            machine.markTerminating(reason.text());
        }
        return reason != null;
    }

    /** Returns why the machine is to be terminated, or null if it is not. */
    private @Nullable TerminationReason terminationReason(Machine machine, long nowMicros) {
        // Called for every machine, because it also determines which idle machines are kept as headroom.
        boolean released = idleMachines.releaseIfUnneeded(machine, nowMicros);
        TerminationReason failure = failures.failureReason(machine, nowMicros);
        if (failure != null) {
            return failure;
        }
        if (released) {
            return TerminationReason.IDLE;
        }
        if (!machine.isEmpty()) {
            return null;
        }
        if (machine.phase() == Machine.Phase.DRAINING) {
            return TerminationReason.DRAINED;
        }
        return machine.phase() == Machine.Phase.READY && machine.isQuarantined() ? TerminationReason.FAULTY : null;
    }
}
