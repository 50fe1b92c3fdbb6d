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

/** A deployment of real controllers with a simulated store, cloud, network, machines and users, driven by a seed. */
final class Simulation {
    static final long SECOND = 1_000_000;
    /** A class of batch jobs whose objective is to start sooner than any machine boots. */
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
    /** The limits of the store according to the settings of the controllers. */
    private final StoreLimits storeLimits;
    /** The limits that controllers additionally respect once they are upgraded; null if the limits do not change. */
    @Nullable
    StoreLimits upgradedLimits;

    final Set<String> upgradedNodes = new HashSet<>();

    final List<String> nodeNames;
    final SimEnvironment environment;
    /** Records the calls and answers of the controllers; null unless traces are collected. */
    private final @Nullable EdgeTrace trace;

    final Rules rules;
    final SimCommands commands;
    final SimStore store;
    final SimCloud cloud;
    final SimJobs jobs;
    final SimUsers users = new SimUsers(this);
    final SimFaults faults = new SimFaults(this);
    final SimLateCopies lateCopies = new SimLateCopies(this);
    private final SimPorts ports = new SimPorts(this);
    final Map<String, SimNode> nodes = new LinkedHashMap<>();
    private final Set<TaskId> completedTasks = new HashSet<>();
    private final Map<String, Integer> acceptedHeartbeatCount = new HashMap<>();
    /** Controllers whose users get no answers. */
    final Set<String> nodesUnreachableByUsers = new HashSet<>();
    /** The extra delay in microseconds of direct calls that start tasks; other calls overtake them. */
    long directStartDelayMicros;
    /** How long a recovery holds back batch work for services; applies to controllers that start from now on. */
    long recoveryHoldMicros;
    /** Whether cancellations that peers pass on are dropped: safety must not depend on them. */
    boolean dropPeerCancellations;
    /** Probability that a job is cancelled at the moment at which its last task completes. */
    double cancelAtCompletionShare;
    /** Ids of the jobs whose tasks fail on every machine. */
    final Set<String> brokenJobs = new HashSet<>();
    /** The highest number of concurrent direct calls from one controller to machines so far. */
    int maxConcurrentCalls;

    Simulation(long seed) {
        this(seed, SimulationConfig.small());
    }

    /** @param machinesPerOffer the capacity of the cloud, in machines per type, zone and price model */
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

    /** Wraps the callback for a response to a user so that the trace records the response. */
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

    /** Passes heartbeats of machines to the controllers. */
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

    /** The zone of a controller. */
    String zoneOf(String node) {
        return ZONES.get(nodeNames.indexOf(node) % ZONES.size());
    }

    private void onJobCompleted(String job) {
        if (cancelAtCompletionShare > 0 && environment.random.nextDouble() < cancelAtCompletionShare) {
            users.cancel(job);
        }
    }

    /** The first controller that considers itself the leader, or the first of all controllers if none does. */
    String leader() {
        return leadersOtherThan(null).findFirst().orElse(nodeNames.get(0));
    }

    /** The leader other than the former one, which may not have noticed yet that it was replaced. */
    String leaderOtherThan(String former) {
        return leadersOtherThan(former).findFirst().orElse(former);
    }

    private Stream<String> leadersOtherThan(@Nullable String one) {
        return nodes.values().stream()
                .filter(SimNode::isLeader)
                .map(SimNode::name)
                .filter(node -> !node.equals(one));
    }

    /** How many heartbeats this controller has accepted so far. */
    int acceptedHeartbeatCount(String node) {
        return acceptedHeartbeatCount.getOrDefault(node, 0);
    }

    /** The controller that runs on this node; null while the node is down. */
    @Nullable
    Controller controllerAt(String node) {
        return nodes.get(node).controller();
    }

    /** The recovery status of the leader; null while there is no leader. */
    @Nullable
    RecoveryStatus recoveryStatus() {
        SimNode leader = nodes.get(leader());
        return leader.isLeader() ? recoveryStatusAt(leader.name()) : null;
    }

    /** The status of the first controller with a fencing token whose recovery is in a phase; null if there is none. */
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

    /** The recovery status of this controller; null while its node is down. */
    @Nullable
    RecoveryStatus recoveryStatusAt(String node) {
        Controller controller = controllerAt(node);
        return controller == null ? null : controller.recoveryStatus();
    }

    /** The name of a random controller. */
    String randomNode() {
        return nodeNames.get(environment.random.nextInt(nodeNames.size()));
    }

    /** A random live machine; null if there is none. */
    @Nullable
    SimWorker randomWorker() {
        List<SimWorker> all = cloud.workers();
        return all.isEmpty() ? null : all.get(environment.random.nextInt(all.size()));
    }

    /** Records a value after a delay; see {@link Observation}. */
    <T> Observation<T> observe(long delayMicros, Supplier<T> value) {
        Observation<T> observation = new Observation<>();
        after(delayMicros, () -> observation.set(value.get()));
        return observation;
    }

    /** Runs an action after a delay; before the first run, that is the simulated time of the action. */
    void after(long delayMicros, Runnable action) {
        environment.after(delayMicros, action);
    }

    /** Runs the simulation up to a time and checks the safety rules after each event. */
    void run(long endMicros) {
        environment.run(endMicros, rules::check);
    }

    /**
     * Runs the simulation up to a time. From the end of the last fault on, also checks each second that users get
     * answers about accepted jobs and that no job starves.
     */
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
