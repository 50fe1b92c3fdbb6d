package org.granitepath.coordination.autoscaling;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.MachineType;

/** Plans anew whenever the last launch is over, and launches what the plan puts first. */
final class ScaleOut {
    private static final double MICROS_PER_SECOND = 1e6;

    private final ScaleOutPlan.Inputs demand;
    private final PlacementRules rules;
    private final BooleanSupplier leaseConfirmed;
    private final FailureDetector failureDetector;
    private final BootingMachines booting;
    private final CloudRequestBudget requestBudget;
    private final Launcher launcher;
    private final SpareHeadroom spareHeadroom;

    /**
     * Launches nothing before it is told to.
     *
     * @param leaseConfirmed whether the store confirmed lately that this controller leads
     */
    ScaleOut(
            ScaleOutPlan.Inputs demand,
            PlacementRules rules,
            BooleanSupplier leaseConfirmed,
            FailureDetector failureDetector,
            BootingMachines booting,
            CloudRequestBudget requestBudget,
            Launcher launcher,
            SpareHeadroom spareHeadroom) {
        this.demand = demand;
        this.rules = rules;
        this.leaseConfirmed = leaseConfirmed;
        this.failureDetector = failureDetector;
        this.booting = booting;
        this.requestBudget = requestBudget;
        this.launcher = launcher;
        this.spareHeadroom = spareHeadroom;
    }

    /** Launches machines for the work that waits, one kind after the other as long as any is lacking. */
    void launch(long nowMicros) {
        if (launcher.underWay() || !leaseConfirmed.getAsBoolean()) {
            return;
        }
        demand.batchPlanner().updateIfDue(nowMicros);
        ScaleOutPlan plan = new ScaleOutPlan(
                demand, launcher::refusedLately, zone -> failureDetector.isZonePartitioned(zone, nowMicros), nowMicros);
        addPending(plan, nowMicros);
        List<ActiveJob> waiting = demand.jobs().all().stream()
                .filter(job -> launchesFor(job, nowMicros))
                .toList();
        plan.make(waiting);
        spareHeadroom.update(plan.spareHeadroomCpuMillis());
        PlannedLaunch first = plan.first();
        if (first != null && requestBudget.tryTake(nowMicros)) {
            launcher.launch(first, Math.round(plan.drainMicros() / MICROS_PER_SECOND), this::launch);
        }
    }

    private void addPending(ScaleOutPlan plan, long nowMicros) {
        for (BootingMachine machine : booting.all()) {
            if (!machine.overdue(nowMicros) && !failureDetector.isZonePartitioned(machine.zone(), nowMicros)) {
                plan.pending(machine.type(), machine.zone(), machine.spot());
            }
        }
        Fleet fleet = demand.fleet();
        for (Machine machine : fleet.machines()) {
            MachineType type = machine.type();
            if (type != null && justJoined(machine) && !fleet.isHeartbeatOverdue(machine, nowMicros)) {
                plan.pending(type, machine.zone(), machine.isSpot());
            }
        }
    }

    /** Whether it has sent its first heartbeats and is not yet ready for tasks. */
    private static boolean justJoined(Machine machine) {
        return machine.phase() == Machine.Phase.UNCONFIRMED && machine.isEmpty() && !machine.isAwaitingFirstHeartbeat();
    }

    private boolean launchesFor(ActiveJob job, long nowMicros) {
        return job.waitingTasks() > 0
                && job.scheduling().isWaiting()
                && job.scheduling().notBeforeMicros() <= nowMicros
                && (job.gangAttempt() == null || job.gangAttempt().canAddTasks())
                && rules.isWithinTeamLimit(job.spec());
    }
}
