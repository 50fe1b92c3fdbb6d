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

/** A simulated worker on one machine that follows the protocol of heartbeats, leases and agent epochs. */
final class SimWorker {
    /** The description of the machine by the cloud. */
    record MachineFacts(String id, MachineType type, String zone, boolean spot) {}

    /** The heartbeat interval, and how long tasks may run after the last accepted heartbeat was sent. */
    record Timing(long heartbeatIntervalMicros, long leaseMicros) {}

    /** How many times a worker advances its tasks per heartbeat interval. */
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
    /** Counts restarts of the worker; messages of an earlier process are lost. */
    private int restarts;

    private long sequence;
    private long fencingToken;
    private long leaseStartMicros;
    private long nextHeartbeatMicros;
    /** The index of the controller that receives the heartbeats, in the list of controller names. */
    private int controllerIndex;

    private boolean awaitingResponse;
    /** Whether the state of the worker, apart from its tasks, has changed since the last heartbeat. */
    private boolean changed;

    private boolean dead;
    private long deathMicros;
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

    /** The heartbeat that was sent last; null before the first one. */
    @Nullable
    Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    /** The task attempts on this machine, exited ones included. */
    SimTaskAttempts attempts() {
        return tasks.attempts();
    }

    /** How many tasks have started on this machine that must fail. */
    int failedTaskCount() {
        return tasks.failedTaskCount();
    }

    /** How many tasks have failed on this machine, those included that ran when it became faulty. */
    int failureCount() {
        return tasks.failureCount();
    }

    /** Whether the machine is gone, and had been without a task for less than the given time. */
    boolean diedWithin(long micros) {
        return dead && deathMicros - tasks.lastEndMicros() < micros;
    }

    boolean isAlive() {
        return !dead;
    }

    boolean isHanging() {
        return hanging;
    }

    /** How many tasks of a job could start on this machine now. */
    int slots(JobSpec spec) {
        return canStart(spec) ? attempts().slots(spec) : 0;
    }

    /** Whether another task of a job could start on this machine now. */
    boolean canStart(JobSpec spec) {
        return !dead
                && !hanging
                && !tasks.isFaulty()
                && terminationMicros < 0
                && attempts().hasCapacityFor(spec, null)
                && spec.isTypeAllowed(type.name())
                && spec.isZoneAllowed(zone)
                && (spec.spotAllowed() || !spot);
    }

    /** Sets whether heartbeats are lost; commands still reach the worker. */
    void setHeartbeatsDropped(boolean dropped) {
        heartbeatsDropped = dropped;
    }

    /** Makes tasks fail on this machine from now on. */
    void becomeFaulty() {
        tasks.setFaulty(true);
    }

    /** Lets tasks run on this machine again as on any other. */
    void recover() {
        tasks.setFaulty(false);
    }

    /** Ends the machine and all tasks on it for good. */
    void die() {
        if (!dead) {
            dead = true;
            deathMicros = environment.nowMicros();
            tasks.killAll();
            environment.setProcessDown(id, true);
        }
    }

    /** Restarts the worker at once under its old name, without its tasks, agent epoch, fencing token and images. */
    void restart() {
        tasks.forgetAll();
        restarts++;
        agentEpoch = 1;
        sequence = 0;
        fencingToken = 0;
        leaseStartMicros = environment.nowMicros();
        nextHeartbeatMicros = environment.nowMicros();
        awaitingResponse = false;
    }

    /** How often the worker has restarted. */
    int restarts() {
        return restarts;
    }

    /** Whether the worker has accepted a message of a controller since it started. */
    boolean hasFencingToken() {
        return fencingToken > 0;
    }

    /** Sets whether the machine hangs: it executes nothing while its clock runs on. */
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

    /** Announces that the cloud will reclaim the machine after this time; the worker reports it in heartbeats. */
    void announceTermination(long micros) {
        terminationMicros = environment.nowMicros() + micros;
        changed = true;
    }

    /** Ends all tasks on this machine whose jobs match, with the given cause. */
    void endTasks(Predicate<JobSpec> which, ExitCause cause) {
        tasks.end(which, cause);
    }

    private void tick() {
        if (dead) {
            return;
        }
        environment.after(heartbeatIntervalMicros / TICKS_PER_HEARTBEAT, this::tick);
        // A hanging machine executes nothing. When it resumes, it checks first whether its lease has expired.
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

    /** Whether a heartbeat is due; after a change it is due half an interval earlier. */
    private boolean heartbeatIsDue() {
        boolean early = changed || tasks.hasChanged();
        return environment.nowMicros() >= nextHeartbeatMicros - (early ? heartbeatIntervalMicros / 2 : 0);
    }

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
        int sentRestarts = restarts;
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
                answer -> {
                    if (restarts == sentRestarts) {
                        onHeartbeatResponse(answer, sentMicros, sentEpoch);
                    }
                });
    }

    /**
     * Applies an accepted heartbeat's response, unless its heartbeat was sent in an earlier agent epoch or its fencing
     * token is lower than the worker's. After any other response, or none, or one that arrives while the machine hangs,
     * the next heartbeat goes to another controller.
     */
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

    /** Switches to the named controller, or to the next one if the name is null, unknown or the current one. */
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

    /**
     * Handles the commands of a direct call. The worker executes them only if the fencing token is not lower than its
     * own and the agent epoch is the current one.
     */
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
            // Between real processes the command would be encoded. Here that is only checked to be possible.
            assert WorkerCodec.encodeCommands(fencingToken, agentEpoch, List.of(command)) != null;
            tasks.execute(command);
        }
    }
}
