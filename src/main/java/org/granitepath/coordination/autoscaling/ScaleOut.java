package org.granitepath.coordination.autoscaling;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Micros;

/** Makes a new plan whenever the previous launch is over, and carries out the first launch of the plan. */
final class ScaleOut {

    private final ScaleOutPlan.Inputs inputs;
    private final PlacementRules rules;
    private final BooleanSupplier leaseConfirmed;
    private final FailureDetector failureDetector;
    private final BootingMachines booting;
    private final CloudRequestBudget requestBudget;
    private final Launcher launcher;
    private final SpareHeadroom spareHeadroom;

    /**
     * Creates an object that launches nothing until {@link #launch} is called.
     *
     * @param leaseConfirmed whether the store has recently confirmed that this controller leads
     */
    ScaleOut(
            ScaleOutPlan.Inputs inputs,
            PlacementRules rules,
            BooleanSupplier leaseConfirmed,
            FailureDetector failureDetector,
            BootingMachines booting,
            CloudRequestBudget requestBudget,
            Launcher launcher,
            SpareHeadroom spareHeadroom) {
        this.inputs = inputs;
        this.rules = rules;
        this.leaseConfirmed = leaseConfirmed;
        this.failureDetector = failureDetector;
        this.booting = booting;
        this.requestBudget = requestBudget;
        this.launcher = launcher;
        this.spareHeadroom = spareHeadroom;
    }

    /**
     * Launches machines for the waiting work, unless a launch is in progress. Each answer of the cloud starts the next
     * launch, until no more machines are needed.
     */
    void launch(long nowMicros) {
        if (launcher.hasRequestInFlight() || !leaseConfirmed.getAsBoolean()) {
            return;
        }
        inputs.batchPlanner().updateIfDue(nowMicros);
        ScaleOutPlan plan = new ScaleOutPlan(
                inputs, launcher::isUnavailable, zone -> failureDetector.isZonePartitioned(zone, nowMicros), nowMicros);
        addPendingMachines(plan, nowMicros);
        List<ActiveJob> waiting = inputs.jobs().all().stream()
                .filter(job -> qualifiesForLaunch(job, nowMicros))
                .toList();
        plan.planFor(waiting);
        spareHeadroom.update(plan.spareHeadroomCpuMillis());
        PlannedLaunch first = plan.firstLaunch();
        if (first != null && requestBudget.tryAcquire(nowMicros)) {
            launcher.launch(first, Math.round(plan.batchCompletionMicros() / (double) Micros.PER_SECOND), this::launch);
        }
    }

    private void addPendingMachines(ScaleOutPlan plan, long nowMicros) {
        for (BootingMachine machine : booting.all()) {
            if (!machine.isOverdue(nowMicros) && !failureDetector.isZonePartitioned(machine.zone(), nowMicros)) {
                plan.addPending(machine.type(), machine.zone(), machine.spot());
            }
        }
        Fleet fleet = inputs.fleet();
        for (Machine machine : fleet.machines()) {
            MachineType type = machine.type();
            if (type != null && isJoining(machine) && !fleet.isHeartbeatOverdue(machine, nowMicros)) {
                plan.addPending(type, machine.zone(), machine.isSpot());
            }
        }
    }

    /** Returns whether the machine has sent its first heartbeats and is not yet ready for tasks. */
    private static boolean isJoining(Machine machine) {
        return machine.phase() == Machine.Phase.UNCONFIRMED && machine.isEmpty() && !machine.isAwaitingFirstHeartbeat();
    }

    private boolean qualifiesForLaunch(ActiveJob job, long nowMicros) {
        return job.waitingTasks() > 0
                && job.scheduling().isWaiting()
                && job.scheduling().notBeforeMicros() <= nowMicros
                && (job.gangAttempt() == null || job.gangAttempt().canAddTasks())
                && rules.isWithinTeamLimit(job.spec());
    }
}
