package org.granitepath.coordination.scheduling;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.gang.GangScheduler;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.Timers;

/** Runs scheduling cycles: each step starts one task, or one gang, of the job that is first by class and fair share. */
public final class Scheduler {
    /**
     * The policies that decide which machines a job can use, which jobs can wait, and which tasks can be stopped for
     * others.
     */
    public record Policies(
            PlacementRules rules, BatchPlanner batchPlanner, Preemptor preemptor, GangHeadroom gangHeadroom) {}

    private final TermRecovery recovery;
    private final Timers timers;
    private final BatchPlanner batchPlanner;
    private final CandidateQueue candidates;
    private final MachineSelector machines;
    private final TaskScheduler taskScheduler;
    private final GangScheduler gangScheduler;

    /** Creates the scheduler of one leader term. */
    public Scheduler(
            Config config,
            Fleet fleet,
            ActiveJobs activeJobs,
            TermRecovery recovery,
            TaskLifecycle tasks,
            JobLifecycle jobs,
            Policies policies,
            Timers timers) {
        PlacementRules rules = policies.rules();
        MachineScorer machineScorer = new MachineScorer(rules);
        this.recovery = recovery;
        this.timers = timers;
        this.batchPlanner = policies.batchPlanner();
        this.candidates = new CandidateQueue(
                activeJobs,
                recovery,
                jobs,
                batchPlanner,
                new FairShare(config.tuning().weights()));
        this.machines = new MachineSelector(fleet, rules, machineScorer, policies.gangHeadroom());
        this.taskScheduler =
                new TaskScheduler(config.topology().zones(), candidates, machines, rules, policies.preemptor(), tasks);
        this.gangScheduler = new GangScheduler(config, fleet, rules, tasks, machineScorer);
    }

    /** Runs one cycle, which starts tasks until no further task fits. */
    public void runCycle() {
        long nowMicros = timers.nowMicros();
        recovery.onCycleStart(nowMicros);
        recovery.onCycleEnded(scheduleAll(nowMicros));
    }

    /**
     * Starts tasks until no candidate is left.
     *
     * @return how many tasks of live work have no capacity yet while other tasks are being stopped for them
     */
    private int scheduleAll(long nowMicros) {
        batchPlanner.updateIfDue(nowMicros);
        gangScheduler.releaseEndedReservations(nowMicros);
        candidates.refill(nowMicros);
        if (candidates.isEmpty()) {
            return 0;
        }
        machines.beginCycle(candidates, nowMicros);
        taskScheduler.beginCycle();
        int awaitingPreemption = 0;
        while (!candidates.isEmpty()) {
            ActiveJob job = candidates.poll();
            if (job.spec().isGang()) {
                gangScheduler.schedule(job, machines.machinesWithCapacity(), nowMicros);
            } else {
                awaitingPreemption += taskScheduler.schedule(job, nowMicros);
            }
        }
        return awaitingPreemption;
    }
}
