package org.granitepath.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ControllerIdentity;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.config.PlatformLimits;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Topology;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** Controllers with stand-ins for all around them, users included, in simulated time from a seed. */
final class Simulation {
    static final long SECOND = 1_000_000;
    /** A class of batch jobs that is expected to start sooner than any machine boots. */
    static final String URGENT_CLASS = "prompt";

    private static final List<String> ZONES = List.of("north", "south");
    private static final Map<String, Team> TEAMS = Map.of(
            "free", new Team("free", 0, 0, 0, 0),
            "tight", new Team("tight", 0, 12_000, 0, 0),
            "granted", new Team("granted", 16_000, 24_000, 0, 0),
            "lender", new Team("lender", 16_000, 0, 0, 0));

    static final long LEASE_MICROS = 11 * SECOND;

    final SimulationConfig config;
    final SimGangs gangs;
    /** What the settings say of the limits of the store. */
    private final StoreLimits storeLimits;
    /** What controllers keep to once they are upgraded; null: nothing changes. */
    @Nullable
    StoreLimits upgradedLimits;

    final Set<String> upgradedNodes = new HashSet<>();

    final List<String> nodeNames;
    final SimEnvironment environment;
    /** What leaves the controllers; null when nobody wants to know. */
    private final @Nullable EdgeTrace trace;

    final Rules rules;
    final SimCommands commands;
    final SimStore store;
    final SimCloud cloud;
    final SimJobs jobs;
    final SimUsers users = new SimUsers(this);
    final SimFaults faults = new SimFaults(this);
    private final SimPorts ports = new SimPorts(this);
    final Map<String, SimNode> nodes = new LinkedHashMap<>();
    private final Set<TaskId> completedTasks = new HashSet<>();
    private final Map<String, Integer> acceptedHeartbeatCount = new HashMap<>();
    /** Controllers that users don't get to. */
    final Set<String> nodesUnreachableByUsers = new HashSet<>();
    /** For how long direct calls that start tasks are held up on their way; others overtake them. */
    long directStartDelayMicros;
    /** How long a recovery holds other work for services, for controllers that start from now on. */
    long recoveryHoldMicros;
    /** Peers never pass cancellations on: what is safe must be safe without. */
    boolean dropPeerCancellations;
    /** Share of jobs that are cancelled at the very moment at which their last task ends. */
    double cancelAtCompletionShare;
    /** Jobs submitted with a mistake: each of their tasks fails wherever it runs. */
    final Set<String> brokenJobs = new HashSet<>();
    /** The most direct calls to machines that one controller had under way at once. */
    int maxConcurrentCalls;

    Simulation(long seed) {
        this(seed, SimulationConfig.small());
    }

    /** @param machinesPerOffer how many machines of each type, zone and kind there are */
    Simulation(long seed, int controllers, int machinesPerOffer) {
        this(seed, SimulationConfig.small().withControllers(controllers).withMachinesPerOffer(machinesPerOffer));
    }

    Simulation(long seed, SimulationConfig config) {
        this.config = config;
        nodeNames =
                IntStream.range(0, config.controllers()).mapToObj(i -> "n" + i).toList();
        environment = new SimEnvironment(seed);
        trace = EdgeTrace.createIfCollecting(environment);
        rules = new Rules(environment, TEAMS, config.cancellationTimeoutMicros(), this::onJobCompleted);
        commands = new SimCommands(environment, rules);
        jobs = new SimJobs(environment, config.machinesPerOffer());
        gangs = new SimGangs(environment, rules, completedTasks);
        storeLimits = new StoreLimits(
                config.limits().writesPerSecond(),
                config.limits().valueBytes(),
                config.limits().transactionChanges());
        store = new SimStore(
                environment,
                config.limits().transactionChanges(),
                config.limits().valueBytes(),
                config.limits().requestsPerSecond(),
                config.limits().writesPerSecond());
        List<MachineType> types = List.of(
                new MachineType("small", 4_000, 0, 16_000, 0.5, 0.24, 0.07, 8 * SECOND, ZONES),
                new MachineType("large", 16_000, 0, 64_000, 1.0, 1.0, 0.3, 5 * SECOND, ZONES));
        cloud = new SimCloud(
                environment, types, config.machinesPerOffer(), 4 * SECOND, (id, host) -> createWorker(types, id, host));
        for (String node : nodeNames) {
            nodes.put(node, new SimNode(environment, node, this::createController));
        }
        nodes.values().forEach(SimNode::boot);
    }

    private Controller createController(SimNode node) {
        String name = node.name();
        return new Controller(
                controllerConfig(node),
                traced(store.portFor(name), port -> trace.tracing(name, port)),
                traced(cloud.portFor(name), port -> trace.tracing(name, port)),
                traced(ports.workerPort(name), port -> trace.tracing(name, port)),
                traced(ports.peerPort(name), port -> trace.tracing(name, port)),
                node.timers(),
                RecoveryTracer.NONE);
    }

    private Config controllerConfig(SimNode node) {
        String name = node.name();
        Map<String, String> zonesOfPeers = nodeNames.stream()
                .filter(other -> !other.equals(name))
                .collect(Collectors.toMap(other -> other, this::zoneOf));
        return new Config(
                new ControllerIdentity(name, node.incarnation(), zoneOf(name)),
                new Topology(ZONES, zonesOfPeers),
                TEAMS,
                Map.of("svc", new Objective(8 * SECOND, 1, 0), URGENT_CLASS, new Objective(4 * SECOND, 1, 0)),
                new WorkerTiming(
                        config.heartbeatIntervalMicros(),
                        config.leaseMicros(),
                        config.cancellationTimeoutMicros(),
                        SimGangs.START_TIMEOUT_MICROS,
                        SimGangs.PEER_LOSS_DETECTION_MICROS),
                new PlatformLimits(
                        config.limits().requestsPerSecond(),
                        upgradedNodes.contains(name) ? storeLimits.strictest(upgradedLimits) : storeLimits,
                        5,
                        config.maxConnections()),
                250_000,
                Tuning.defaults().withRecoveryHold(recoveryHoldMicros));
    }

    private <P> P traced(P port, UnaryOperator<P> tracing) {
        return trace == null ? port : tracing.apply(port);
    }

    /** The answer of a controller to a user, as the trace keeps it. */
    Consumer<JobResponse> traced(String node, String user, Consumer<JobResponse> then) {
        return trace == null ? then : trace.tracingUserResponses(node, user, then);
    }

    private SimWorker createWorker(List<MachineType> types, String id, CloudPort.ListedMachine host) {
        MachineType type = types.stream()
                .filter(each -> each.name().equals(host.type()))
                .findFirst()
                .orElseThrow();
        return new SimWorker(
                environment,
                rules,
                new WorkerFacingControllers(),
                users::specOf,
                completedTasks,
                gangs,
                new SimWorker.MachineFacts(id, type, host.zone(), host.spot()),
                new SimWorker.Timing(config.heartbeatIntervalMicros(), config.leaseMicros()));
    }

    /** The controllers as machines see them. */
    private final class WorkerFacingControllers implements SimControllers {
        @Override
        public List<String> nodeNames() {
            return nodeNames;
        }

        @Override
        public HeartbeatResponse handleHeartbeat(String node, Heartbeat heartbeat) {
            Controller controller = controllerAt(node);
            HeartbeatResponse answer =
                    controller == null ? new HeartbeatResponse.Unavailable() : controller.handleHeartbeat(heartbeat);
            if (trace != null) {
                trace.recordHeartbeatResponse(node, heartbeat.machineId(), answer);
            }
            if (answer instanceof HeartbeatResponse.Accepted accepted) {
                acceptedHeartbeatCount.merge(node, 1, Integer::sum);
                if (controller.isLeader()) {
                    commands.recordHeartbeat(controller.fencingToken(), heartbeat.machineId());
                    commands.recordCommands(
                            controller.fencingToken(), node, heartbeat.machineId(), accepted.commands());
                }
            }
            return answer;
        }

        @Override
        public boolean failsEverywhere(String job) {
            return brokenJobs.contains(job);
        }
    }

    /** The zone in which a controller stands. */
    String zoneOf(String node) {
        return ZONES.get(nodeNames.indexOf(node) % ZONES.size());
    }

    private void onJobCompleted(String job) {
        if (cancelAtCompletionShare > 0 && environment.random.nextDouble() < cancelAtCompletionShare) {
            users.cancel(job);
        }
    }

    /** The controller that takes itself for the leader, or the first of all while none does. */
    String leader() {
        return leadersOtherThan(null).findFirst().orElse(nodeNames.get(0));
    }

    /** The leader other than this one, which may not know yet that it was replaced. */
    String leaderOtherThan(String former) {
        return leadersOtherThan(former).findFirst().orElse(former);
    }

    private Stream<String> leadersOtherThan(@Nullable String one) {
        return nodes.values().stream()
                .filter(SimNode::isLeader)
                .map(SimNode::name)
                .filter(node -> !node.equals(one));
    }

    /** How many heartbeats this controller answered so far as one that may. */
    int acceptedHeartbeatCount(String node) {
        return acceptedHeartbeatCount.getOrDefault(node, 0);
    }

    /** The controller that runs here now; null while it is down. */
    @Nullable
    Controller controllerAt(String node) {
        return nodes.get(node).controller();
    }

    /** What the leader tells of its recovery; null while nobody leads. */
    @Nullable
    RecoveryStatus recoveryStatus() {
        SimNode leader = nodes.get(leader());
        return leader.isLeader() ? recoveryStatusAt(leader.name()) : null;
    }

    /** What a controller tells whose recovery is in this phase; null when there is none. */
    @Nullable
    RecoveryStatus recoveryStatusInPhase(RecoveryPhase phase) {
        return nodes.values().stream()
                .map(SimNode::controller)
                .filter(controller -> controller != null && controller.fencingToken() > 0)
                .map(Controller::recoveryStatus)
                .filter(status -> status.phase() == phase)
                .findFirst()
                .orElse(null);
    }

    /** What this controller tells of recoveries; null while it is down. */
    @Nullable
    RecoveryStatus recoveryStatusAt(String node) {
        Controller controller = controllerAt(node);
        return controller == null ? null : controller.recoveryStatus();
    }

    /** A controller drawn at random. */
    String randomNode() {
        return nodeNames.get(environment.random.nextInt(nodeNames.size()));
    }

    /** A machine drawn at random; null while there is none. */
    @Nullable
    SimWorker randomWorker() {
        List<SimWorker> all = cloud.workers();
        return all.isEmpty() ? null : all.get(environment.random.nextInt(all.size()));
    }

    /** Takes a value so much later than now. */
    <T> Observation<T> observe(long delayMicros, Supplier<T> value) {
        Observation<T> observation = new Observation<>();
        after(delayMicros, () -> observation.set(value.get()));
        return observation;
    }

    /** Does this so much later than now: before the run, at this time of it. */
    void after(long delayMicros, Runnable action) {
        environment.after(delayMicros, action);
    }

    /** Runs with the rules checked after each step. */
    void run(long endMicros) {
        environment.run(endMicros, rules::check);
    }

    /** The same with the check that every job stays known, from the time on at which the last trouble is over. */
    void runWithLivenessChecks(long faultsEndMicros, long endMicros) {
        environment.after(faultsEndMicros - environment.nowMicros(), () -> runLivenessChecks(faultsEndMicros));
        run(endMicros);
    }

    private void runLivenessChecks(long faultsEndMicros) {
        rules.checkAnswered(faultsEndMicros);
        rules.checkNotStarved(cloud.workers());
        environment.after(SECOND, () -> runLivenessChecks(faultsEndMicros));
    }
}
