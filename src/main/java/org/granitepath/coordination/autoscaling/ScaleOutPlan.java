package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.ArrivalRate;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/**
 * A plan of which machines to launch for the waiting work, given the pending machines: those that were launched and are
 * not ready for tasks yet. A new plan is made before each launch.
 */
public final class ScaleOutPlan {
    /** Maximum number of tasks of one job in a plan: one task on each of 6,000 machines. */
    private static final int MAX_PLANNED_TASKS = 6_000;

    /**
     * Inputs of a plan.
     *
     * @param config the configuration of this controller
     * @param fleet the machines that have joined
     * @param jobs the jobs that have not ended
     * @param batchPlanner tells which batch work can wait for cheaper capacity
     * @param runtimeEstimator estimates how long the tasks of a job run
     * @param arrivalRate estimates how much work of live services arrives
     */
    public record Inputs(
            Config config,
            Fleet fleet,
            ActiveJobs jobs,
            BatchPlanner batchPlanner,
            RuntimeEstimator runtimeEstimator,
            ArrivalRate arrivalRate) {}

    private final BatchPlanner batchPlanner;
    private final long nowMicros;
    private final PlannedCapacity plannedCapacity = new PlannedCapacity();
    private final OfferMarket market;
    private final HeadroomPlan headroomPlan;
    private final GangPlan gangPlan;
    private final WaitingLiveTasks waitingLiveTasks = new WaitingLiveTasks();

    /**
     * Creates an empty plan.
     *
     * @param unavailable accepts the keys of the offers for which the cloud recently had no capacity
     * @param partitioned accepts the zones from which no heartbeat would arrive
     */
    ScaleOutPlan(Inputs inputs, Predicate<String> unavailable, Predicate<String> partitioned, long nowMicros) {
        this.batchPlanner = inputs.batchPlanner();
        this.nowMicros = nowMicros;
        this.market = new OfferMarket(inputs, plannedCapacity, unavailable, partitioned, nowMicros);
        this.headroomPlan = new HeadroomPlan(inputs, plannedCapacity, market, nowMicros);
        this.gangPlan = new GangPlan(inputs, plannedCapacity, market);
    }

    /** Adds a pending machine, whose capacity the plan may use. */
    void addPending(MachineType type, String zone, boolean spot) {
        plannedCapacity.addPending(type, zone, spot);
    }

    /** Plans machines for the jobs that wait for capacity, in the order of their priority and age. */
    void planFor(Collection<ActiveJob> waitingJobs) {
        List<ActiveJob> waiting = new ArrayList<>(waitingJobs);
        waiting.sort(Comparator.comparing((ActiveJob job) -> job.spec().priority())
                .thenComparing(job -> job.acceptedMicros()));
        waiting.stream().filter(ActiveJob::isLiveService).forEach(waitingLiveTasks::add);
        boolean headroomPlanned = false;
        for (ActiveJob job : waiting) {
            if (!headroomPlanned && !job.isLiveService()) {
                // Pending capacity that the waiting live services leave counts as headroom, regardless of other
                // work that wants it.
                headroomPlan.addLaunches();
                headroomPlanned = true;
            }
            planJob(job);
        }
        if (!headroomPlanned) {
            headroomPlan.addLaunches();
        }
    }

    /**
     * Returns the launch to carry out first, or null if the plan has no launch. Launches for live services precede
     * those for other work; within each group, the launch of the most machines is first.
     */
    @Nullable
    PlannedLaunch firstLaunch() {
        return plannedCapacity.firstLaunch();
    }

    /** Returns the thousandths of a CPU that live services could take beyond the headroom wanted for them. */
    double spareHeadroomCpuMillis() {
        return headroomPlan.spareCpuMillis();
    }

    /** Returns how many microseconds the present batch work takes on the present, pending and planned machines. */
    double batchCompletionMicros() {
        return batchPlanner.batchCompletionMicros(plannedCapacity.batchCpuMillis());
    }

    private void planJob(ActiveJob job) {
        if (job.spec().isGang()) {
            gangPlan.plan(job);
            return;
        }
        Map<String, Integer> tasksByZone = new HashMap<>(job.tasksByZone());
        int equivalentTasks = job.isLiveService() ? waitingLiveTasks.removeAndCountEquivalent(job) : 0;
        int wanted = Math.min(job.waitingTasks(), MAX_PLANNED_TASKS);
        int lacking = reserveOnPending(job, wanted, tasksByZone);
        planNewMachines(job, lacking, equivalentTasks, tasksByZone);
    }

    /** Reserves capacity on the machines of the plan so far, and returns for how many tasks there is none. */
    private int reserveOnPending(ActiveJob job, int tasks, Map<String, Integer> tasksByZone) {
        boolean deferrable = isDeferrable(job);
        int left = tasks;
        for (PlannedMachine machine : plannedCapacity.machines()) {
            if (machine.isSpot() || !deferrable) {
                left = reserve(machine, job.spec(), left, tasksByZone);
            }
        }
        return left;
    }

    /**
     * Plans new machines for tasks of a job.
     *
     * @param tasks how many tasks of the job need capacity
     * @param equivalentTasks how many tasks of other jobs wait that could share the machines
     * @param tasksByZone how many tasks of the job each zone has according to the plan so far; updated by this method
     */
    private void planNewMachines(ActiveJob job, int tasks, int equivalentTasks, Map<String, Integer> tasksByZone) {
        int left = tasks;
        while (left > 0 && plannedCapacity.canPlanNewMachine(0)) {
            plannedCapacity.countNewMachineAttempt();
            Offer offer = market.cheapestOffer(new OfferRequest(
                    job, !isDeferrable(job), left + equivalentTasks, tasksByZone, ZoneFilter.ANY_ZONE));
            if (offer == null) {
                return;
            }
            PlannedMachine machine = PlannedMachine.of(offer);
            int before = left;
            left = reserve(machine, job.spec(), left, tasksByZone);
            if (left == before) {
                return;
            }
            plannedCapacity.addNew(machine, offer);
        }
    }

    /** Reserves capacity for as many of the tasks as the machine holds, and returns how many are left. */
    private static int reserve(PlannedMachine machine, JobSpec spec, int tasks, Map<String, Integer> tasksByZone) {
        int left = tasks;
        while (left > 0
                && tasksByZone.getOrDefault(machine.zone(), 0) < spec.maxTasksPerZone()
                && machine.reserve(spec)) {
            tasksByZone.merge(machine.zone(), 1, Integer::sum);
            left--;
        }
        return left;
    }

    private boolean isDeferrable(ActiveJob job) {
        return batchPlanner.isDeferrable(job, plannedCapacity.batchCpuMillis(), nowMicros);
    }
}
