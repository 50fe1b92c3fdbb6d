package org.granitepath.simulation;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.WorkerCodec;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** A stand-in for a machine's worker, as the protocol describes it: heartbeats, leases and agent epochs. */
final class SimWorker {
    /** What the cloud has said of the machine. */
    record MachineFacts(String id, MachineType type, String zone, boolean spot) {}

    /** How often it sends a heartbeat, and how long its tasks outlive the last answer. */
    record Timing(long heartbeatIntervalMicros, long leaseMicros) {}

    /** A worker looks at its tasks this many times between two heartbeats. */
    private static final int TICKS_PER_HEARTBEAT = 10;

    private static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

    private final SimEnvironment environment;
    private final SimControllers controllers;
    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    private final long heartbeatIntervalMicros;
    private final long leaseMicros;
    private final SimTaskRunner tasks;
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private long leaseStartMicros;
    private long nextHeartbeatMicros;
    /** The controller to which heartbeats go, by its place in the list of their names. */
    private int controllerIndex;

    private boolean awaitingResponse;
    /** Something beside the tasks has changed since the last heartbeat. */
    private boolean changed;

    private boolean dead;
    private boolean hanging;
    private boolean heartbeatsDropped;
    private @Nullable Heartbeat lastHeartbeat;
    private long terminationMicros = -1;

    SimWorker(
            SimEnvironment environment,
            Rules rules,
            SimControllers controllers,
            Function<String, JobSpec> jobs,
            Set<TaskId> completedTasks,
            SimGangs gangs,
            MachineFacts facts,
            Timing timing) {
        this.environment = environment;
        this.controllers = controllers;
        this.id = facts.id;
        this.type = facts.type;
        this.zone = facts.zone;
        this.spot = facts.spot;
        this.heartbeatIntervalMicros = timing.heartbeatIntervalMicros;
        this.leaseMicros = timing.leaseMicros;
        this.tasks =
                new SimTaskRunner(environment, rules, this, jobs, controllers::failsEverywhere, completedTasks, gangs);
        this.leaseStartMicros = environment.nowMicros();
        this.controllerIndex =
                environment.random.nextInt(controllers.nodeNames().size());
        tick();
    }

    // ---- what is asked of it by scenarios and rules ------------------------------------------------------------

    /** The heartbeat that it sent last; null before the first one. */
    @Nullable
    Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    /** What is on the machine, exited attempts included. */
    SimTaskAttempts attempts() {
        return tasks.attempts();
    }

    /** How many tasks have failed here. */
    int failedTaskCount() {
        return tasks.failedTaskCount();
    }

    boolean isAlive() {
        return !dead;
    }

    boolean isHanging() {
        return hanging;
    }

    /** How many such tasks fit here now, and could start. */
    int slots(JobSpec spec) {
        return canStart(spec) ? attempts().slots(spec) : 0;
    }

    /** Whether one more such task fits here now, and could start. */
    boolean canStart(JobSpec spec) {
        return !dead
                && !hanging
                && !tasks.isFaulty()
                && terminationMicros < 0
                && attempts().hasCapacityFor(spec, null)
                && spec.allowsType(type.name())
                && spec.allowsZone(zone)
                && (spec.spot() || !spot);
    }

    // ---- troubles ----------------------------------------------------------------------------------------------

    /** Its heartbeats are lost on the way; it is reached all the same. */
    void setHeartbeatsDropped(boolean dropped) {
        heartbeatsDropped = dropped;
    }

    /** From now on every task fails here. */
    void becomeFaulty() {
        tasks.becomeFaulty();
    }

    /** It is gone for good, with all that runs on it. */
    void die() {
        if (!dead) {
            dead = true;
            tasks.killAll();
            environment.setProcessDown(id, true);
        }
    }

    /** While it hangs it does nothing, but its clock runs on. */
    void setHanging(boolean shouldHang) {
        hanging = shouldHang;
        if (!shouldHang && !dead) {
            expireLeaseIfDue();
        }
    }

    void hangFor(long micros) {
        setHanging(true);
        environment.after(micros, () -> setHanging(false));
    }

    /** The cloud takes it back after this time, and it tells so. */
    void announceTermination(long micros) {
        terminationMicros = environment.nowMicros() + micros;
        changed = true;
    }

    /** All tasks here that fit are over, each for this reason. */
    void endTasks(Predicate<JobSpec> which, ExitCause cause) {
        tasks.end(which, cause);
    }

    // ---- time passes -------------------------------------------------------------------------------------------

    private void tick() {
        if (dead) {
            return;
        }
        environment.after(heartbeatIntervalMicros / TICKS_PER_HEARTBEAT, this::tick);
        // A hanging machine executes nothing, and its first act on going on is to see that its lease is over.
        expireLeaseIfDue();
        if (hanging) {
            return;
        }
        tasks.advance();
        if (!awaitingResponse && heartbeatIsDue()) {
            sendHeartbeat();
        }
    }

    private void expireLeaseIfDue() {
        if (environment.nowMicros() - leaseStartMicros > leaseMicros) {
            tasks.killAll();
            agentEpoch++;
            leaseStartMicros = environment.nowMicros();
            changed = true;
        }
    }

    /** After a change a heartbeat goes out earlier. */
    private boolean heartbeatIsDue() {
        boolean early = changed || tasks.hasChanged();
        return environment.nowMicros() >= nextHeartbeatMicros - (early ? heartbeatIntervalMicros / 2 : 0);
    }

    // ---- heartbeats --------------------------------------------------------------------------------------------

    private Heartbeat createHeartbeat() {
        return new Heartbeat(
                id,
                id,
                type.name(),
                zone,
                spot,
                agentEpoch,
                ++sequence,
                fencingToken,
                terminationMicros < 0 ? -1 : Math.max(0, terminationMicros - environment.nowMicros()),
                attempts().statuses());
    }

    private void sendHeartbeat() {
        awaitingResponse = true;
        changed = false;
        tasks.clearChanged();
        long sentMicros = environment.nowMicros();
        long sentEpoch = agentEpoch;
        String node = controllers.nodeNames().get(controllerIndex);
        Heartbeat heartbeat = createHeartbeat();
        nextHeartbeatMicros = sentMicros
                + heartbeatIntervalMicros * 3 / 4
                + environment.random.nextInt((int) (heartbeatIntervalMicros / 2));
        lastHeartbeat = heartbeat;
        environment.call(
                id,
                heartbeatsDropped ? "nowhere" : node,
                RESPONSE_TIMEOUT_MICROS,
                () -> heartbeatsDropped ? null : controllers.handleHeartbeat(node, heartbeat),
                answer -> onHeartbeatResponse(answer, sentMicros, sentEpoch));
    }

    /** A hanging machine reads its answers when it goes on, and drops those that are too old. */
    private void onHeartbeatResponse(@Nullable HeartbeatResponse response, long sentMicros, long sentEpoch) {
        awaitingResponse = false;
        if (dead) {
            return;
        }
        if (!hanging && response instanceof HeartbeatResponse.Accepted accepted) {
            if (sentEpoch == agentEpoch && accepted.fencingToken() >= fencingToken) {
                updateFencingToken(accepted.fencingToken());
                leaseStartMicros = Math.max(leaseStartMicros, sentMicros);
                execute(accepted.commands());
            }
        } else if (!hanging && response instanceof HeartbeatResponse.Redirect redirect) {
            switchToNamedController(redirect.node());
        } else {
            switchToNextController();
        }
    }

    /** To the controller that was named, if there is one and it is another. */
    private void switchToNamedController(@Nullable String named) {
        int next = named == null ? -1 : controllers.nodeNames().indexOf(named);
        if (next < 0 || next == controllerIndex) {
            switchToNextController();
            return;
        }
        controllerIndex = next;
        nextHeartbeatMicros = environment.nowMicros() + environment.random.nextInt(500_000);
    }

    private void switchToNextController() {
        controllerIndex = (controllerIndex + 1) % controllers.nodeNames().size();
        nextHeartbeatMicros = environment.nowMicros() + 1_000_000;
    }

    // ---- commands ----------------------------------------------------------------------------------------------

    /** Commands of a direct call; they are carried out only under a present fencing token and agent epoch. */
    WorkerPort.Reply handleCommands(long commandToken, long commandAgentEpoch, List<WorkerCommand> commands) {
        expireLeaseIfDue();
        boolean accepted = commandToken >= fencingToken && commandAgentEpoch == agentEpoch;
        if (accepted) {
            updateFencingToken(commandToken);
            execute(commands);
        }
        return new WorkerPort.Reply(accepted, createHeartbeat());
    }

    private void updateFencingToken(long token) {
        changed |= token > fencingToken;
        fencingToken = token;
    }

    private void execute(List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            // Through the wire's words and back, as between real processes.
            assert WorkerCodec.encodeCommands(fencingToken, agentEpoch, List.of(command)) != null;
            tasks.execute(command);
        }
    }
}
