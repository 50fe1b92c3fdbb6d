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

/** What is to be launched for the work that waits, given what is on its way. Made anew before each launch. */
public final class ScaleOutPlan {
    /** Tasks of one job that are planned for at a time: as many as 6,000 machines with a task each. */
    private static final int MAX_PLANNED_TASKS = 6_000;

    /**
     * What a plan is made from.
     *
     * @param fleet the machines that there are
     * @param jobs the jobs that are not over
     * @param batchPlanner tells which batch work can wait for cheaper capacity
     * @param runtimeEstimator tells how long a job's tasks take
     * @param arrivalRate tells how much work of live services arrives
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
    private final PlannedCapacity planned = new PlannedCapacity();
    private final OfferMarket market;
    private final HeadroomPlan headroom;
    private final GangPlan gangs;
    private final WaitingLiveTasks waitingLiveTasks = new WaitingLiveTasks();

    /**
     * An empty plan.
     *
     * @param refused keys of offers of which the cloud lately had none
     * @param cutOff zones from which no heartbeat would arrive
     */
    ScaleOutPlan(Inputs demand, Predicate<String> refused, Predicate<String> cutOff, long nowMicros) {
        this.batchPlanner = demand.batchPlanner();
        this.nowMicros = nowMicros;
        this.market = new OfferMarket(demand, planned, refused, cutOff, nowMicros);
        this.headroom = new HeadroomPlan(demand, planned, market, nowMicros);
        this.gangs = new GangPlan(demand, planned, market);
    }

    /** Takes account of a machine that is on its way. */
    void pending(MachineType type, String zone, boolean spot) {
        planned.addPending(type, zone, spot);
    }

    /** Plans for the jobs that wait for capacity, by priority and age. */
    void make(Collection<ActiveJob> wanting) {
        List<ActiveJob> waiting = new ArrayList<>(wanting);
        waiting.sort(Comparator.comparing((ActiveJob job) -> job.spec().priority())
                .thenComparing(job -> job.acceptedMicros()));
        waiting.stream().filter(ActiveJob::isLiveService).forEach(waitingLiveTasks::add);
        boolean headroomPlanned = false;
        for (ActiveJob job : waiting) {
            if (!headroomPlanned && !job.isLiveService()) {
                // What is on its way is headroom once the live services at hand have theirs, whatever else wants it.
                headroom.make();
                headroomPlanned = true;
            }
            plan(job);
        }
        if (!headroomPlanned) {
            headroom.make();
        }
    }

    /** What to launch first: for live services before other work, then most of a kind. Null: nothing. */
    @Nullable
    PlannedLaunch first() {
        return planned.first();
    }

    /** CPUs, in thousandths, that live services could take beyond the headroom wanted for them. */
    double spareHeadroomCpuMillis() {
        return headroom.spareCpuMillis();
    }

    /** How long the batch work at hand takes on what there is and what is on its way. */
    double drainMicros() {
        return batchPlanner.batchCompletionMicros(planned.batchCpuMillis());
    }

    private void plan(ActiveJob job) {
        if (job.spec().gang()) {
            gangs.plan(job);
            return;
        }
        Map<String, Integer> tasksByZone = new HashMap<>(job.tasksByZone());
        int others = job.isLiveService() ? waitingLiveTasks.removeAndCountEquivalent(job) : 0;
        int wanted = Math.min(job.waitingTasks(), MAX_PLANNED_TASKS);
        int lacking = usePending(job, wanted, tasksByZone);
        planNew(job, lacking, others, tasksByZone);
    }

    /** Sets capacity aside on machines that are on their way, and returns how many tasks are left. */
    private int usePending(ActiveJob job, int tasks, Map<String, Integer> tasksByZone) {
        boolean deferrable = isDeferrable(job);
        int left = tasks;
        for (PlannedMachine machine : planned.machines()) {
            if (machine.spot() || !deferrable) {
                left = fill(machine, job.spec(), left, tasksByZone);
            }
        }
        return left;
    }

    /**
     * Plans new machines for tasks of a job.
     *
     * @param others how many more tasks wait that could share the machines
     */
    private void planNew(ActiveJob job, int tasks, int others, Map<String, Integer> tasksByZone) {
        int left = tasks;
        while (left > 0 && planned.mayConsiderMore(0)) {
            planned.countConsidered();
            Offer offer = market.cheapest(
                    new OfferRequest(job, !isDeferrable(job), left + others, tasksByZone, ZoneFilter.ANY_ZONE));
            if (offer == null) {
                return;
            }
            PlannedMachine machine = PlannedMachine.of(offer);
            int before = left;
            left = fill(machine, job.spec(), left, tasksByZone);
            if (left == before) {
                return;
            }
            planned.addNew(machine, offer);
        }
    }

    /** Sets capacity aside for as many of the tasks as the machine holds, and returns how many are left. */
    private static int fill(PlannedMachine machine, JobSpec spec, int tasks, Map<String, Integer> tasksByZone) {
        int left = tasks;
        while (left > 0 && tasksByZone.getOrDefault(machine.zone(), 0) < spec.zoneCap() && machine.take(spec)) {
            tasksByZone.merge(machine.zone(), 1, Integer::sum);
            left--;
        }
        return left;
    }

    private boolean isDeferrable(ActiveJob job) {
        return batchPlanner.isDeferrable(job, planned.batchCpuMillis(), nowMicros);
    }
}
