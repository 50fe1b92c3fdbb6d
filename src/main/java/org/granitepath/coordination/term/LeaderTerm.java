package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.autoscaling.Autoscaler;
import org.granitepath.coordination.autoscaling.ScaleOutPlan;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.CommandSender;
import org.granitepath.coordination.fleet.HeartbeatReconciler;
import org.granitepath.coordination.fleet.MachineInventory;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.ArrivalRate;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.JobRecorder;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.coordination.scheduling.Consolidator;
import org.granitepath.coordination.scheduling.Preemptor;
import org.granitepath.coordination.scheduling.Scheduler;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.Keys;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.MachineTypesRecord;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.RecordSize;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's work for one term: puts the parts together, answers workers and makes the periodic checks. A new term
 * starts from the records alone; whatever a predecessor may have started is unconfirmed until each machine of the
 * inventory has been heard under the new fencing token or is proved gone.
 */
public final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long TICK_MICROS = 500_000;
    /** A tick that comes later than this after the last one: we stood still, or fell far behind. */
    private static final long PAUSE_MICROS = 1_000_000;

    private static final long RECORD_TYPES_DELAY_MICROS = 2_000_000;
    /** The leader's share of the budget for changes; request handlers of all controllers share what is left. */
    private static final double WRITE_SHARE = 0.65;

    private final Config config;
    private final Leadership leadership;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final Timers timers;
    private final WriteQueue writeQueue;
    private final Fleet fleet;
    private final TermRecovery recovery;
    private final SchedulingLoop loop;
    private final MachineInventory inventory;
    private final TaskLifecycle tasks;
    private final JobLifecycle jobs;
    private final MachineLifecycle machines;
    private final HeartbeatReconciler reconciler;
    private final CommandSender sender;
    private final Scheduler scheduler;
    private final Consolidator consolidator;
    private final Autoscaler autoscaler;
    private long tickedMicros;
    private boolean ended;

    /** Puts the parts of a term together; nothing happens before it is started. */
    public LeaderTerm(
            Config config,
            Leadership leadership,
            Leadership.Term term,
            KeyValueStore store,
            RecordReplica replica,
            JobIndex jobIndex,
            Timers timers,
            WorkerPort workers,
            CloudPort cloud,
            Peers peers,
            RecoveryTracer recoveryTracer) {
        this.config = config;
        this.leadership = leadership;
        this.term = term;
        this.replica = replica;
        this.timers = timers;
        this.tickedMicros = timers.nowMicros();
        RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
        FaultTracker faults = new FaultTracker();
        ArrivalRate arrivalRate = new ArrivalRate();
        TeamLimits teamLimits = new TeamLimits(config.teams());
        ActiveJobs activeJobs = new ActiveJobs(config.skewMicros(), timers, faults::forget);
        this.fleet = new Fleet(config, timers);
        this.loop = new SchedulingLoop(timers, this::ended, leadership::mayStart, this::runCycle, this::sendCommands);
        CommandQueue commands = new CommandQueue(loop::requestSend);
        this.writeQueue = newWriteQueue(store);
        this.recovery = new TermRecovery(
                new RecoveryPlan(term.fencingToken(), config.tuning().recoveryHoldMicros(), recoveryTracer),
                activeJobs,
                timers,
                loop);
        this.inventory = new MachineInventory(
                config, term, replica, writeQueue, timers, fleet, this::tokenRaised, loop::requestCycle);
        this.tasks = new TaskLifecycle(term, recovery, activeJobs, teamLimits, timers, loop, commands);
        JobRecorder recorder = new JobRecorder(config, term, replica, writeQueue, loop);
        this.jobs = new JobLifecycle(jobIndex, recorder, recovery, activeJobs, tasks, arrivalRate, timers, loop);
        this.machines = new MachineLifecycle(config, fleet, inventory, tasks, recovery, faults, commands, timers, loop);
        this.reconciler = new HeartbeatReconciler(
                config,
                jobIndex,
                fleet,
                inventory,
                machines,
                activeJobs,
                jobs,
                tasks,
                recovery,
                faults,
                runtimeEstimator,
                commands,
                timers,
                loop);
        this.sender = new CommandSender(
                config, leadership, workers, fleet, inventory, reconciler, commands, timers, loop, this::ended);
        PlacementRules rules = new PlacementRules(fleet, recovery, activeJobs, teamLimits, faults, runtimeEstimator);
        BatchPlanner batchPlanner = new BatchPlanner(config, fleet, activeJobs, runtimeEstimator);
        Preemptor preemptor = new Preemptor(fleet, rules, tasks);
        GangHeadroom gangHeadroom = new GangHeadroom(fleet, batchPlanner);
        Scheduler.Policies policies = new Scheduler.Policies(rules, batchPlanner, preemptor, gangHeadroom);
        this.scheduler = new Scheduler(config, fleet, activeJobs, recovery, tasks, jobs, policies, timers);
        this.consolidator = new Consolidator(fleet, activeJobs, machines, tasks);
        this.autoscaler = newAutoscaler(
                new ScaleOutPlan.Demand(config, fleet, activeJobs, batchPlanner, runtimeEstimator, arrivalRate),
                rules,
                gangHeadroom,
                peers,
                cloud);
    }

    private WriteQueue newWriteQueue(KeyValueStore store) {
        return new WriteQueue(
                store,
                replica,
                timers,
                config.limits().store().transactionChanges(),
                config.limits().store().writesPerSecond() * WRITE_SHARE,
                RateControl.FIXED,
                () -> List.of(new Precondition(Keys.LEADER, term.leaderRevision())),
                () -> !ended);
    }

    private Autoscaler newAutoscaler(
            ScaleOutPlan.Demand demand, PlacementRules rules, GangHeadroom gangHeadroom, Peers peers, CloudPort cloud) {
        return new Autoscaler(
                demand,
                new Autoscaler.Term(term.fencingToken(), leadership, recovery, this::ended),
                rules,
                gangHeadroom,
                machines,
                peers,
                cloud,
                timers);
    }

    /** Begins the term: takes the machines and jobs on record over. */
    public void start() {
        List<Machine> takenOver = inventory.takeOver();
        fleet.inherit(takenOver);
        recovery.start(takenOver, inventory.unreadableParts(), replica.storeRevision());
        jobs.start();
        LOG.info(
                "term with fencing token {}: {} machines taken over",
                term.fencingToken(),
                fleet.machines().size());
        timers.after(TICK_MICROS, this::tick);
        loop.requestCycle();
        sender.callInherited();
    }

    /** Begins to launch and return machines. */
    public void startAutoscaling() {
        autoscaler.start();
    }

    /** The term is over: nothing of it acts any more. */
    public void end() {
        ended = true;
        jobs.end();
        recovery.plan().end();
    }

    boolean ended() {
        return ended;
    }

    /** The cloud has told of its machine types. */
    public void typesChanged(List<MachineType> list) {
        fleet.typesChanged(list);
        loop.requestCycle();
    }

    /** Keeps the machine types on record, for controllers that start while the cloud is away. */
    public void recordTypes(List<MachineType> list) {
        MachineTypesRecord types = new MachineTypesRecord(list);
        if (replica.has(Keys.TYPES)
                || RecordSize.of(types) > config.limits().store().valueBytes()) {
            return; // a part of the types would let controllers refuse jobs that can run
        }
        writeQueue.enqueue(
                Keys.TYPES,
                WriteQueue.Urgency.PROGRESS_ONLY,
                RECORD_TYPES_DELAY_MICROS,
                () -> replica.has(Keys.TYPES) ? List.of() : List.of(Change.write(Keys.TYPES, types)),
                storeRevision -> {});
    }

    TermRecovery recovery() {
        return recovery;
    }

    /** Whether most machines have become unresponsive to us while a peer hears them. */
    public boolean cutFromWorkers(int redirectedByPeer) {
        return fleet.cutFromWorkers(redirectedByPeer);
    }

    /** A worker's heartbeat, answered with what it is to do. */
    public HeartbeatResponse heartbeat(Heartbeat heartbeat) {
        Machine machine = fleet.machine(heartbeat.host());
        if (machine == null) {
            if (fleet.isLateCopy(heartbeat)) {
                LOG.debug("a late copy of a heartbeat of {}, which is gone", heartbeat.host());
                return new HeartbeatResponse.Unavailable();
            }
            if (heartbeat.fencingToken() > term.fencingToken()) {
                return new HeartbeatResponse.Unavailable();
            }
            machine = fleet.newMachine(heartbeat, term.fencingToken());
            machines.join(machine);
        }
        if (heartbeat.fencingToken() > machine.fencingToken()) {
            return outranked(machine, heartbeat);
        }
        if (!reconciler.reconcile(machine, heartbeat, true)) {
            machine.contact().liftFence();
            // Overtaken by the answer to a direct call: nothing to learn, but the worker is where it should be.
            return !machine.isGone()
                            && heartbeat.agentEpoch() == machine.contact().agentEpoch()
                    ? new HeartbeatResponse.Accepted(machine.fencingToken(), CommandSender.stopsFor(machine))
                    : new HeartbeatResponse.Unavailable();
        }
        loop.runCycleIfDue();
        return new HeartbeatResponse.Accepted(machine.fencingToken(), sender.commandsForAnswer(machine));
    }

    /** Someone with a higher token gives commands there: we were replaced, or our own new token is under way. */
    private HeartbeatResponse outranked(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "machine {} has seen fencing token {}, ours is {}",
                machine.id(),
                heartbeat.fencingToken(),
                machine.fencingToken());
        replica.barrier(fresh -> {});
        return new HeartbeatResponse.Unavailable();
    }

    private void tokenRaised(Machine machine) {
        machines.tokenRaised(machine);
        if (!fleet.unresponsive(machine, timers.nowMicros())) {
            sender.showToken(machine);
        }
    }

    private void runCycle() {
        scheduler.runCycle();
    }

    private void sendCommands() {
        sender.sendDue();
    }

    private void tick() {
        if (ended) {
            return;
        }
        timers.after(TICK_MICROS, this::tick);
        long now = timers.nowMicros();
        long pause = now - tickedMicros - TICK_MICROS;
        tickedMicros = now;
        if (pause > PAUSE_MICROS) {
            LOG.info("we stood still for {} s: nobody is silent for that", pause / 1_000_000);
            fleet.excusePause(pause, now);
        }
        for (Machine machine : List.copyOf(fleet.machines())) {
            checkLease(machine);
            sender.probe(machine, now);
            sender.showTokenIfUnconfirmed(machine, now);
            checkPlacements(machine, now);
        }
        if (recovery.noMachineAwaited() && leadership.leaseConfirmed()) {
            consolidator.tick(now);
        }
        loop.requestCycle();
    }

    /**
     * A lease that ran out proves something only if we were the leader all along: a successor that we don't know of may
     * be answering this worker. So the store must have confirmed us after the end.
     */
    private void checkLease(Machine machine) {
        if (machine.contact().leaseExpiryMicros() <= 0
                || leadership.lastConfirmedMicros() <= machine.contact().leaseExpiryMicros()) {
            return;
        }
        if (machine.contact().fenced() || !config.topology().peerIn(machine.zone())) {
            machines.leaseExpired(machine);
        } else {
            inventory.requestToken(machine, "its lease is over, unless a controller that is cut off keeps it alive");
        }
    }

    private void checkPlacements(Machine machine, long now) {
        boolean unresponsive = fleet.unresponsive(machine, now);
        for (Placement placement : List.copyOf(machine.placements())) {
            if (unresponsive && placement.phase() == Placement.Phase.ASSIGNED) {
                tasks.free(placement, "never sent: the machine has fallen silent");
            } else if (placement.phase() == Placement.Phase.STOPPING) {
                tasks.stopAgain(placement);
            }
        }
    }
}
