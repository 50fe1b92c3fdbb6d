package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.autoscaling.Autoscaler;
import org.granitepath.coordination.autoscaling.ScaleOutPlan;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.CleanupCommands;
import org.granitepath.coordination.fleet.CommandSender;
import org.granitepath.coordination.fleet.HeartbeatReconciler;
import org.granitepath.coordination.fleet.MachineCommands;
import org.granitepath.coordination.fleet.MachineInventory;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.fleet.TakeoverCalls;
import org.granitepath.coordination.fleet.TaskReconciler;
import org.granitepath.coordination.fleet.TaskStatusUpdater;
import org.granitepath.coordination.fleet.TokenRaiseHandler;
import org.granitepath.coordination.fleet.WorkerCalls;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.ArrivalRate;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.JobRecorder;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.scheduling.Consolidator;
import org.granitepath.coordination.scheduling.Preemptor;
import org.granitepath.coordination.scheduling.Scheduler;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/**
 * Creates the components of one term and wires them together, in the order of their packages from the lowest layer up:
 * each component receives only components that are created before it. Where a component of a lower layer has to call
 * one of a higher layer, it receives a method of this factory that forwards the call. That is so for the scheduling
 * loop, which calls the scheduler and the command sender, and for the inventory, which reports raised fencing tokens.
 */
public final class LeaderTermFactory {
    /** The leader's share of the store's write limit; the request handlers of all controllers share the rest. */
    private static final double WRITE_SHARE = 0.65;

    // Components of the controller that outlive the term.
    private final Config config;
    private final Leadership leadership;
    private final Leadership.Term term;
    private final TermPorts ports;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final Timers timers;

    private final TermEnd termEnd = new TermEnd();
    private final WriteQueue writeQueue;

    // model: the state of the term
    private final ActiveJobs activeJobs;
    private final Fleet fleet;
    private final TeamLimits teamLimits;

    // jobs: the life cycle of jobs and tasks
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final FaultTracker faults = new FaultTracker();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final SchedulingLoop loop;
    private final MachinesWithCommands machinesWithCommands;
    private final TermRecovery recovery;
    private final TaskLifecycle tasks;
    private final JobLifecycle jobs;

    // fleet: the life cycle of machines
    private final MachineInventory inventory;
    private final MachineLifecycle machines;
    private final TokenRaiseHandler tokenRaiseHandler;
    private final HeartbeatReconciler reconciler;
    private final MachineCommands machineCommands;
    private final WorkerCalls calls;
    private final CommandSender sender;

    // placement, gang, scheduling: scheduling decisions
    private final PlacementRules rules;
    private final BatchPlanner batchPlanner;
    private final GangHeadroom gangHeadroom;
    private final Scheduler scheduler;

    /** Creates the components that the parts of the term share. They do nothing until the term is started. */
    public LeaderTermFactory(
            Config config,
            Leadership leadership,
            Leadership.Term term,
            TermPorts ports,
            RecordReplica replica,
            JobIndex jobIndex,
            Timers timers,
            RecoveryTracer recoveryTracer) {
        this.config = config;
        this.leadership = leadership;
        this.term = term;
        this.ports = ports;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.timers = timers;
        this.writeQueue = createWriteQueue();

        this.activeJobs = new ActiveJobs(config.maxClockOffsetMicros(), timers, faults::forget);
        this.fleet = new Fleet(config, timers);
        this.teamLimits = new TeamLimits(config.teams());

        this.loop = createSchedulingLoop();
        this.machinesWithCommands = new MachinesWithCommands(loop::requestSend);
        this.recovery = new TermRecovery(createRecoveryPlan(recoveryTracer), activeJobs, timers, loop);
        this.tasks = new TaskLifecycle(term, recovery, activeJobs, teamLimits, timers, loop, machinesWithCommands);
        this.jobs = createJobLifecycle();

        this.inventory = createInventory();
        this.machines =
                new MachineLifecycle(fleet, inventory, tasks, recovery, faults, machinesWithCommands, timers, loop);
        this.tokenRaiseHandler = new TokenRaiseHandler(config, fleet, timers);
        this.reconciler = createReconciler();
        this.machineCommands = new MachineCommands(leadership, machinesWithCommands);
        this.calls = new WorkerCalls(config, ports.workers(), inventory, reconciler, timers, loop, termEnd::isEnded);
        this.sender =
                new CommandSender(config, leadership, fleet, machineCommands, machinesWithCommands, calls, timers);

        this.rules = new PlacementRules(fleet, recovery, activeJobs, teamLimits, faults, runtimeEstimator);
        this.batchPlanner = new BatchPlanner(config, fleet, activeJobs, runtimeEstimator);
        this.gangHeadroom = new GangHeadroom(fleet, batchPlanner);
        this.scheduler = createScheduler();
    }

    private WriteQueue createWriteQueue() {
        return new WriteQueue(
                ports.store(),
                replica,
                timers,
                config.limits().store().transactionChanges(),
                config.limits().store().writesPerSecond() * WRITE_SHARE,
                RateControl.FIXED,
                () -> List.of(new Precondition(Keys.LEADER, term.leaderRevision())),
                () -> !termEnd.isEnded());
    }

    private SchedulingLoop createSchedulingLoop() {
        return new SchedulingLoop(
                timers, termEnd::isEnded, leadership::canStartTasks, this::runCycle, this::sendCommands);
    }

    private void runCycle() {
        scheduler.runCycle();
    }

    private void sendCommands() {
        sender.sendDueCommands();
    }

    private RecoveryPlan createRecoveryPlan(RecoveryTracer recoveryTracer) {
        return new RecoveryPlan(term.fencingToken(), config.tuning().recoveryHoldMicros(), recoveryTracer);
    }

    private JobLifecycle createJobLifecycle() {
        JobRecorder recorder = new JobRecorder(config, term, replica, writeQueue, loop);
        return new JobLifecycle(jobIndex, recorder, recovery, activeJobs, tasks, arrivalRate, timers, loop);
    }

    private MachineInventory createInventory() {
        MachineInventory.Listener listener = new MachineInventory.Listener() {
            @Override
            public void onTokenRaised(Machine machine) {
                tokenRaiseHandler.onTokenRaised(machine);
                sender.sendRaisedToken(machine);
            }

            @Override
            public void onInventoryWritten() {
                loop.requestCycle();
            }
        };
        return new MachineInventory(config, term, replica, writeQueue, timers, fleet, listener);
    }

    private HeartbeatReconciler createReconciler() {
        TaskStatusUpdater statusUpdater = new TaskStatusUpdater(jobs, tasks, machines, faults, runtimeEstimator, loop);
        CleanupCommands cleanup = new CleanupCommands(jobIndex, recovery.plan(), inventory, machinesWithCommands, loop);
        TaskReconciler taskReconciler =
                new TaskReconciler(jobIndex, activeJobs, tasks, inventory, recovery.plan(), statusUpdater, cleanup);
        return new HeartbeatReconciler(config, fleet, inventory, machines, taskReconciler, recovery, timers, loop);
    }

    private Scheduler createScheduler() {
        Preemptor preemptor = new Preemptor(fleet, rules, tasks);
        Scheduler.Policies policies = new Scheduler.Policies(rules, batchPlanner, preemptor, gangHeadroom);
        return new Scheduler(config, fleet, activeJobs, recovery, tasks, jobs, policies, timers);
    }

    private Autoscaler createAutoscaler() {
        return new Autoscaler(
                new ScaleOutPlan.Inputs(config, fleet, activeJobs, batchPlanner, runtimeEstimator, arrivalRate),
                new Autoscaler.Term(term.fencingToken(), leadership, recovery, termEnd::isEnded),
                rules,
                gangHeadroom,
                machines,
                ports.peers(),
                ports.cloud(),
                timers);
    }

    /** Creates the term. Call this method once only. */
    public LeaderTerm create() {
        return new LeaderTerm(
                termEnd,
                new TermRecords(term, replica, fleet, inventory, recovery, jobs),
                new TakeoverCalls(config, fleet, calls, timers, termEnd::isEnded),
                new HeartbeatHandler(term, replica, fleet, machines, reconciler, machineCommands, calls, loop),
                createPeriodicChecks(),
                new TermMachineTypes(config, replica, writeQueue, fleet, loop),
                createAutoscaler(),
                fleet);
    }

    private PeriodicChecks createPeriodicChecks() {
        MachineChecks machineChecks = new MachineChecks(config, leadership, fleet, inventory, machines, tasks, sender);
        Consolidator consolidator = new Consolidator(fleet, activeJobs, machines, tasks);
        return new PeriodicChecks(termEnd, leadership, fleet, machineChecks, recovery, consolidator, timers, loop);
    }
}
