package org.granitepath.coordination.fleet;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.config.Config;
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
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.WriteQueue;

/**
 * The machines and jobs of one term, built from the production classes. The store is a stub that commits all writes by
 * default. Direct calls to workers are recorded, and the test completes them.
 */
public final class FleetFixture {
    public static final long SECOND_MICROS = 1_000_000;
    public static final long PREVIOUS_TOKEN = 6;
    public static final long TERM_TOKEN = 7;
    /** The agent epoch of machines that {@link #readyMachine(String)} creates. */
    public static final long AGENT_EPOCH = 3;

    private static final long STORE_LATENCY_MICROS = 1_000;
    private static final String ZONE = Fixtures.TYPE.zones().get(0);

    /** A direct call to a worker, which the test completes by a response or a timeout. */
    public record Call(
            String address,
            long fencingToken,
            long agentEpoch,
            List<WorkerCommand> commands,
            Consumer<WorkerPort.Reply> callback) {
        public void respond(Heartbeat heartbeat) {
            callback.accept(new WorkerPort.Reply(true, heartbeat));
        }

        public void refuse(Heartbeat heartbeat) {
            callback.accept(new WorkerPort.Reply(false, heartbeat));
        }

        void timeOut() {
            callback.accept(new WorkerPort.Reply(false, null));
        }
    }

    public final Leadership.Term term = new Leadership.Term(TERM_TOKEN, 1);
    public final ManualTimers timers = new ManualTimers();
    public final Config config = TestConfigs.of("c1", "c1-1", "c2");
    public final Fleet fleet = new Fleet(config, timers);
    public final RecordReplica replica;
    public final MachineLifecycle machines;
    public final HeartbeatReconciler reconciler;
    public final MachineCommands machineCommands;
    public final SchedulingLoop loop;

    /** The direct calls to workers, in the order in which they were made. */
    public final List<Call> calls = new ArrayList<>();
    /** The ids of machines whose new fencing token was stored, in the order of the notifications. */
    final List<String> tokensRaised = new ArrayList<>();

    final ActiveJobs activeJobs;
    final FaultTracker faults = new FaultTracker();
    final RecoveryPlan plan = new RecoveryPlan(TERM_TOKEN, 0, RecoveryTracer.NONE);
    final TaskLifecycle tasks;
    final MachineInventory inventory;
    final TaskStatusUpdater statusUpdater;
    public final WorkerCalls workerCalls;
    /** Set by tests to end the term. */
    boolean termEnded;
    /** The outcome that the store returns for every write. */
    KeyValueStore.Outcome commitOutcome = KeyValueStore.Outcome.OK;

    private final JobIndex jobIndex = new JobIndex();
    private final TermRecovery recovery;
    private long storeRevision = 1;
    private int storeReads;

    public FleetFixture() {
        KeyValueStore store = store();
        replica = new RecordReplica(store, timers, SECOND_MICROS / 10, replicaListener());
        replica.start();
        timers.advance(STORE_LATENCY_MICROS);
        WriteQueue writeQueue =
                new WriteQueue(store, replica, timers, 20, 50, RateControl.FIXED, List::of, () -> !termEnded);
        activeJobs = new ActiveJobs(0, timers, faults::forget);
        loop = new SchedulingLoop(timers, () -> termEnded, () -> true, () -> {}, () -> {});
        MachinesWithCommands machinesWithCommands = new MachinesWithCommands(loop::requestSend);
        recovery = new TermRecovery(plan, activeJobs, timers, loop);
        TeamLimits teamLimits = new TeamLimits(config.teams());
        tasks = new TaskLifecycle(term, recovery, activeJobs, teamLimits, timers, loop, machinesWithCommands);
        JobRecorder recorder = new JobRecorder(config, term, replica, writeQueue, loop);
        JobLifecycle jobs =
                new JobLifecycle(jobIndex, recorder, recovery, activeJobs, tasks, new ArrivalRate(), timers, loop);
        inventory = new MachineInventory(config, term, replica, writeQueue, timers, fleet, inventoryListener());
        machines = new MachineLifecycle(fleet, inventory, tasks, recovery, faults, machinesWithCommands, timers, loop);
        statusUpdater = new TaskStatusUpdater(jobs, tasks, machines, faults, new RuntimeEstimator(), loop);
        reconciler = new HeartbeatReconciler(
                config,
                fleet,
                inventory,
                machines,
                new TaskReconciler(
                        jobIndex,
                        activeJobs,
                        tasks,
                        inventory,
                        plan,
                        statusUpdater,
                        new CleanupCommands(jobIndex, plan, inventory, machinesWithCommands, loop)),
                recovery,
                timers,
                loop);
        Leadership leadership = new Leadership(config, store, replica, timers, () -> false, leadershipListener());
        machineCommands = new MachineCommands(leadership, machinesWithCommands);
        workerCalls = new WorkerCalls(config, this::sendCommands, inventory, reconciler, timers, loop, () -> termEnded);
        fleet.updateTypes(List.of(Fixtures.TYPE));
        jobs.start();
    }

    /**
     * Creates an empty store whose writes end with {@link #commitOutcome}. Requests to watch changes get no response.
     */
    @SuppressWarnings("unchecked")
    private KeyValueStore store() {
        return (KeyValueStore) Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "commit" -> respondLater((Consumer<KeyValueStore.CommitResult>) arguments[1], committed());
                        case "list" -> respondLater((Consumer<KeyValueStore.Page>) arguments[3], emptyPage());
                        default -> storeReads++;
                    }
                    return null;
                });
    }

    private <T> void respondLater(Consumer<T> callback, T response) {
        timers.after(STORE_LATENCY_MICROS, () -> callback.accept(response));
    }

    private static KeyValueStore.Page emptyPage() {
        return new KeyValueStore.Page(KeyValueStore.Outcome.OK, List.of(), false, 1);
    }

    private KeyValueStore.CommitResult committed() {
        storeRevision++;
        return new KeyValueStore.CommitResult(commitOutcome, storeRevision, List.of());
    }

    private static RecordReplica.Listener replicaListener() {
        return new RecordReplica.Listener() {
            @Override
            public void onRecordChanged(String key, StoredRecord record, long revision) {}

            @Override
            public void onLoaded() {}
        };
    }

    private MachineInventory.Listener inventoryListener() {
        return new MachineInventory.Listener() {
            @Override
            public void onTokenRaised(Machine machine) {
                tokensRaised.add(machine.id());
                new TokenRaiseHandler(config, fleet, timers).onTokenRaised(machine);
            }

            @Override
            public void onInventoryWritten() {}
        };
    }

    private static Leadership.Listener leadershipListener() {
        return new Leadership.Listener() {
            @Override
            public void onElected(Leadership.Term elected) {}

            @Override
            public void onLeadershipLost(String why) {}
        };
    }

    private void sendCommands(
            String address,
            long fencingToken,
            long agentEpoch,
            List<WorkerCommand> commands,
            Consumer<WorkerPort.Reply> callback) {
        calls.add(new Call(address, fencingToken, agentEpoch, commands, callback));
    }

    /** Returns how many requests other than commits and listings the store has received. */
    public int storeReadCount() {
        return storeReads;
    }

    /** Takes over machines that a previous leader has stored and that have sent no message in this term. */
    List<Machine> takeOver(String... ids) {
        List<InventoryRecord.MachineRow> rows = Arrays.stream(ids)
                .map(id -> new InventoryRecord.MachineRow(
                        id, id + ":1", Fixtures.TYPE.name(), ZONE, false, PREVIOUS_TOKEN))
                .toList();
        replica.applyCommitted(Keys.inventoryPartKey(0), new InventoryRecord(rows), 1);
        return takeOverStoredMachines();
    }

    /** Takes over the stored machines, as at the beginning of a term. */
    List<Machine> takeOverStoredMachines() {
        List<Machine> takenOver = inventory.takeOver();
        fleet.takeOver(takenOver);
        fleet.updateTypes(List.of(Fixtures.TYPE));
        recovery.start(takenOver, inventory.unreadablePartCount(), 1);
        return takenOver;
    }

    /** Returns a machine that has joined, is stored, and has acknowledged the fencing token of the term. */
    public Machine readyMachine(String id) {
        return readyMachine(id, ZONE);
    }

    Machine readyMachine(String id, String zone) {
        Heartbeat first = new Heartbeat(
                id, id + ":1", Fixtures.TYPE.name(), zone, false, AGENT_EPOCH, 0, TERM_TOKEN, -1, List.of());
        Machine machine = fleet.newMachine(first, TERM_TOKEN);
        machines.join(machine);
        timers.advance(SECOND_MICROS);
        reconciler.reconcile(machine, first, MessageOrigin.HEARTBEAT);
        return machine;
    }

    /**
     * Returns the next heartbeat of the machine under its current fencing token, in its agent epoch or, when that is
     * unknown, in the first one.
     */
    public static Heartbeat nextHeartbeat(Machine machine, TaskStatus... tasks) {
        return heartbeat(machine, Math.max(1, machine.contact().agentEpoch()), machine.fencingToken(), tasks);
    }

    /** Returns a heartbeat with the next sequence number after the machine's last message. */
    public static Heartbeat heartbeat(Machine machine, long agentEpoch, long fencingToken, TaskStatus... tasks) {
        return new Heartbeat(
                machine.id(),
                machine.contact().address(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot(),
                agentEpoch,
                machine.contact().sequence() + 1,
                fencingToken,
                -1,
                List.of(tasks));
    }

    /** Opens a job of {@link Fixtures#TASKS} tasks, the first {@code claimed} of which are claimed under this token. */
    ActiveJob job(JobSpec.Shape shape, int claimed, long claimedByToken) {
        JobSpec spec = Fixtures.spec(shape, false, false);
        jobIndex.applyRecord(Keys.JOB_PREFIX + spec.id(), new JobRecord(spec, 0, claimed, claimedByToken));
        return activeJobs.get(spec.id());
    }

    /** Opens a job with all tasks claimed in this term, so that no previous leader can have started one. */
    ActiveJob job(JobSpec.Shape shape) {
        return job(shape, Fixtures.TASKS, TERM_TOKEN);
    }

    /** Places the next task of the job on the machine and marks its start as sent in a direct call. */
    Placement startDirectly(ActiveJob job, Machine machine) {
        Placement placement = tasks.start(job, machine, timers.nowMicros());
        placement.markSentDirectly();
        return placement;
    }

    static TaskStatus status(Placement placement, TaskState state) {
        return new TaskStatus(placement.task(), placement.attempt(), state, ExitCause.NONE, false);
    }

    static TaskStatus exited(Placement placement, ExitCause cause) {
        return new TaskStatus(placement.task(), placement.attempt(), TaskState.EXITED, cause, false);
    }

    static TaskStatus status(TaskId task, long attempt, TaskState state, ExitCause cause) {
        return new TaskStatus(task, attempt, state, cause, false);
    }
}
