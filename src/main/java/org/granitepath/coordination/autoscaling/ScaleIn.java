package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines to terminate: those that failed, that nothing needs, or that were drained. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Fleet fleet;
    private final BootingMachines booting;
    private final MachineFailures failures;
    private final IdleMachines idleMachines;

    /** Decides over the machines of this fleet and those that boot. */
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

    /** The machines to terminate now, by name, as many as one request may name. */
    List<String> choose(long nowMicros) {
        List<String> ids = new ArrayList<>();
        chooseFailedToBoot(ids, nowMicros);
        failures.survey();
        idleMachines.survey();
        for (Machine machine : List.copyOf(fleet.machines())) {
            if (ids.size() >= Terminator.MAX_MACHINES_PER_REQUEST) {
                break;
            }
            if (isToBeTerminated(machine, nowMicros)) {
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

    /** Whether the cloud is to be asked for it, for the first time or again. */
    private boolean isToBeTerminated(Machine machine, long nowMicros) {
        TerminationReason reason = reason(machine, nowMicros);
        if (machine.phase() == Machine.Phase.TERMINATING) {
            return true;
        }
        if (reason != null) {
            machine.markTerminating(reason.text());
        }
        return reason != null;
    }

    /** Why the machine is to be terminated; null: it is not. */
    private @Nullable TerminationReason reason(Machine machine, long nowMicros) {
        // Asked for every machine, since it also settles which idle ones are kept as headroom.
        boolean released = idleMachines.releases(machine, nowMicros);
        TerminationReason failure = failures.reason(machine, nowMicros);
        if (failure != null) {
            return failure;
        }
        if (released) {
            return TerminationReason.IDLE;
        }
        boolean drained = machine.phase() == Machine.Phase.DRAINING && machine.isEmpty();
        return drained ? TerminationReason.DRAINED : null;
    }
}
