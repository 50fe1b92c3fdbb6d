package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.Priority;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.Config;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.Heartbeat;
import org.granitepath.coordination.HeartbeatResponse;
import org.granitepath.coordination.JobResponse;
import org.granitepath.coordination.JobResponse.JobState;
import org.granitepath.coordination.PeerPort;
import org.granitepath.coordination.StateLimits;
import org.granitepath.coordination.TaskId;
import org.granitepath.coordination.WorkerCommand;
import org.granitepath.coordination.WorkerPort;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryTracer;

/** Controllers with stand-ins for all around them, users included, in simulated time from a seed. */
final class Simulation {
    static final long SECOND = 1_000_000;
    private static final long USER_TIMEOUT = 5 * SECOND;
    /** A class of batch jobs that is expected to start sooner than any machine boots. */
    static final String PROMPT = "prompt";

    private static final List<String> ZONES = List.of("north", "south");
    private static final Map<String, Config.Team> TEAMS = Map.of(
            "free", new Config.Team("free", 0, 0, 0, 0),
            "tight", new Config.Team("tight", 0, 12_000, 0, 0),
            "granted", new Config.Team("granted", 16_000, 24_000, 0, 0),
            "lender", new Config.Team("lender", 16_000, 0, 0, 0));

    private final class Node implements Timers {
        final String name;
        final double drift;
        final long skew;
        int life;
        Controller controller;

        Node(String name) {
            this.name = name;
            this.drift = 1 + world.random.nextDouble() * 0.0005;
            this.skew = world.random.nextInt(500_000) - 250_000L;
        }

        void boot() {
            life++;
            world.setDown(name, false);
            int ours = life;
            Config config = new Config(
                    name,
                    name + "-" + life,
                    zoneOf(name),
                    names.stream()
                            .filter(n -> !n.equals(name))
                            .collect(Collectors.toMap(n -> n, Simulation.this::zoneOf)),
                    ZONES,
                    TEAMS,
                    Map.of(
                            "svc",
                            new Config.Objective(8 * SECOND, 1, 0),
                            PROMPT,
                            new Config.Objective(4 * SECOND, 1, 0)),
                    shape.report,
                    shape.lease,
                    shape.cancel,
                    SimGangs.WAIT,
                    SimGangs.PEER,
                    shape.requests,
                    upgraded.contains(name) ? limits.within(nextLimits) : limits,
                    5,
                    250_000,
                    shape.connections,
                    Config.Tuning.defaults().withRecoveryHold(recoveryHold));
            controller = new Controller(
                    config,
                    state.portFor(name),
                    cloud.portFor(name),
                    workerPort(name),
                    peerPort(name),
                    new Timers() {
                        @Override
                        public long nowMicros() {
                            return Node.this.nowMicros();
                        }

                        @Override
                        public long timeOfDayMicros() {
                            return Node.this.timeOfDayMicros();
                        }

                        @Override
                        public void after(long delayMicros, Runnable action) {
                            world.after(
                                    (long) (Math.max(0, delayMicros) / drift) + world.random.nextInt(2_000),
                                    () -> world.fire(name, () -> {
                                        if (life == ours && controller != null) {
                                            action.run();
                                        }
                                    }));
                        }
                    },
                    RecoveryTracer.NONE);
            controller.start();
        }

        void crash() {
            life++;
            controller = null;
            world.setDown(name, true);
        }

        @Override
        public long nowMicros() {
            return (long) (world.now() * drift) + 77;
        }

        @Override
        public long timeOfDayMicros() {
            return world.now() + skew;
        }

        @Override
        public void after(long delayMicros, Runnable action) {
            throw new UnsupportedOperationException();
        }
    }

    static final long LEASE = 11 * SECOND;

    /**
     * A deployment: its controllers, how many machines of each type, zone and kind there are, the workers' times, and
     * the limits of the state service.
     */
    record Shape(
            int controllers,
            int perOffer,
            long report,
            long lease,
            long cancel,
            double requests,
            double writes,
            int valueBytes,
            int txnOps,
            int connections) {
        static final Shape SMALL = new Shape(3, 5, SECOND, LEASE, 31 * SECOND, 1000, 200, 2048, 8, 1_000);

        Shape with(int controllers, int perOffer) {
            return new Shape(
                    controllers, perOffer, report, lease, cancel, requests, writes, valueBytes, txnOps, connections);
        }
    }

    final Shape shape;
    final SimGangs gangs;
    /** What the settings say of the limits of the state service. */
    private final StateLimits limits;
    /** What controllers keep to once they are upgraded; null: nothing changes. */
    StateLimits nextLimits;

    private final Set<String> upgraded = new HashSet<>();

    final List<String> names;
    final World world;
    final Rules rules;
    final SimCommands commands;
    final SimState state;
    final SimCloud cloud;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    private final Set<TaskId> results = new HashSet<>();
    private final Map<String, Integer> reportsAccepted = new HashMap<>();
    /** Controllers that users don't get to. */
    private final Set<String> unreachable = new HashSet<>();
    /** For how long direct calls that start tasks are held up on their way; others overtake them. */
    long heldStarts;
    /** How long a recovery holds other work for services, for controllers that start from now on. */
    long recoveryHold;
    /** Peers never pass cancellations on: what is safe must be safe without. */
    boolean peersSendNoCancellations;
    /** Share of jobs that are called off at the very moment at which their last task ends. */
    double cancelledAtEnd;
    /** Jobs submitted with a mistake: each of their tasks fails wherever it runs. */
    final Set<String> brokenJobs = new HashSet<>();
    /** Jobs that can never run, and were told so. */
    int unschedulableRefused;
    /** The most direct calls to machines that one controller had under way at once. */
    int mostCalls;

    private int submissions;
    int doneTold;

    Simulation(long seed) {
        this(seed, Shape.SMALL);
    }

    /** @param perOffer how many machines of each type, zone and kind there are */
    Simulation(long seed, int controllers, int perOffer) {
        this(seed, Shape.SMALL.with(controllers, perOffer));
    }

    Simulation(long seed, Shape shape) {
        this.shape = shape;
        names = IntStream.range(0, shape.controllers).mapToObj(i -> "n" + i).toList();
        world = new World(seed);
        rules = new Rules(world, TEAMS, shape.cancel, this::endedOnMachines);
        commands = new SimCommands(world, rules);
        gangs = new SimGangs(world, rules, results);
        limits = new StateLimits(shape.writes, shape.valueBytes, shape.txnOps);
        state = new SimState(world, shape.txnOps, shape.valueBytes, shape.requests, shape.writes);
        List<MachineType> types = List.of(
                new MachineType("small", 4_000, 0, 16_000, 0.5, 0.24, 0.07, 8 * SECOND, ZONES),
                new MachineType("large", 16_000, 0, 64_000, 1.0, 1.0, 0.3, 5 * SECOND, ZONES));
        cloud = new SimCloud(
                world,
                types,
                shape.perOffer,
                4 * SECOND,
                (id, h) -> new SimWorker(
                        world,
                        rules,
                        new SimControllers() {
                            @Override
                            public List<String> names() {
                                return names;
                            }

                            @Override
                            public HeartbeatResponse heartbeat(String node, Heartbeat heartbeat) {
                                Controller c = nodes.get(node).controller;
                                HeartbeatResponse answer =
                                        c == null ? new HeartbeatResponse.Unavailable() : c.heartbeat(heartbeat);
                                if (answer instanceof HeartbeatResponse.Accepted a) {
                                    reportsAccepted.merge(node, 1, Integer::sum);
                                    if (c.leader()) {
                                        commands.heard(c.term(), heartbeat.host());
                                        commands.sent(c.term(), node, heartbeat.host(), a.commands());
                                    }
                                }
                                return answer;
                            }

                            @Override
                            public boolean fails(String job) {
                                return brokenJobs.contains(job);
                            }
                        },
                        jobs::get,
                        results,
                        gangs,
                        id,
                        types.stream()
                                .filter(t -> t.name().equals(h.type()))
                                .findFirst()
                                .orElseThrow(),
                        h.zone(),
                        h.spot(),
                        shape.report,
                        shape.lease));
        for (String n : names) {
            nodes.put(n, new Node(n));
        }
        nodes.values().forEach(Node::boot);
    }

    String zoneOf(String node) {
        return ZONES.get(names.indexOf(node) % ZONES.size());
    }

    private PeerPort peerPort(String node) {
        return new PeerPort() {
            @Override
            public void exchangeStatus(String peer, PeerStatus ours, Consumer<PeerStatus> then) {
                world.<PeerStatus>callLater(
                        node,
                        peer,
                        SECOND,
                        answer -> {
                            Controller c = nodes.get(peer).controller;
                            if (c != null) {
                                answer.accept(c.statusReceived(ours));
                            }
                        },
                        then);
            }

            @Override
            public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
                world.<Boolean>callLater(
                        node,
                        peer,
                        SECOND,
                        answer -> {
                            Controller c = nodes.get(peer).controller;
                            if (c != null && !peersSendNoCancellations) {
                                c.cancellationReceived(notice);
                                answer.accept(true);
                            }
                        },
                        taken -> then.accept(taken != null));
            }
        };
    }

    private WorkerPort workerPort(String node) {
        return new WorkerPort() {
            private int calls;

            @Override
            public void send(
                    String address,
                    long fencingToken,
                    long session,
                    List<WorkerCommand> commands,
                    Consumer<Reply> then) {
                long term = nodes.get(node).controller.term();
                Simulation.this.commands.sent(term, node, address, commands);
                boolean starts = commands.stream().anyMatch(o -> o.verb() == WorkerCommand.Verb.START);
                mostCalls = Math.max(mostCalls, ++calls);
                world.<Reply>callLater(
                        node,
                        address,
                        2 * SECOND,
                        answer -> {
                            Runnable serve = () ->
                                    serveWhenAwake(address, w -> w.commands(fencingToken, session, commands), answer);
                            if (starts && heldStarts > 0) {
                                world.after(heldStarts, serve);
                            } else {
                                serve.run();
                            }
                        },
                        r -> {
                            calls--;
                            if (r != null) {
                                Simulation.this.commands.heard(term, address);
                            }
                            then.accept(r == null ? new Reply(false, null) : r);
                        });
            }

            // A hanging machine carries commands out when it goes on.
            private void serveWhenAwake(
                    String address, java.util.function.Function<SimWorker, Reply> serve, Consumer<Reply> answer) {
                for (SimWorker w : cloud.workers()) {
                    if (w.id.equals(address)) {
                        if (w.hangs()) {
                            world.after(300_000, () -> serveWhenAwake(address, serve, answer));
                        } else {
                            answer.accept(serve.apply(w));
                        }
                    }
                }
            }
        };
    }

    // ---- troubles ----------------------------------------------------------------------------------------------

    void crash(String node, long forMicros) {
        Node n = nodes.get(node);
        if (n.controller != null) {
            n.crash();
            world.after(forMicros, n::boot);
        }
    }

    /** A controller ends and comes back with the next version, which knows of the next limits. */
    void upgrade(String node, long downMicros) {
        upgraded.add(node);
        crash(node, downMicros);
    }

    /** A controller stands still while its clocks run on. */
    void freeze(String node, long forMicros) {
        world.freeze(node);
        world.after(forMicros, () -> world.thaw(node));
    }

    void cut(String a, String b, World.Cut how, long forMicros) {
        world.cut(a, b, how);
        world.after(forMicros, () -> world.heal(a, b));
    }

    void cutFromWorkers(String node, World.Cut how, long forMicros) {
        for (SimWorker w : cloud.workers()) {
            cut(node, w.id, how, forMicros);
        }
    }

    /** Its reports arrive, but neither answers nor commands reach it. */
    void deafen(SimWorker w, long forMicros) {
        for (String n : names) {
            world.block(n, w.id);
            world.after(forMicros, () -> world.heal(n, w.id));
        }
    }

    /** Answers and commands reach it, but its reports are lost. */
    void mute(SimWorker w, long forMicros) {
        w.mute(true);
        world.after(forMicros, () -> w.mute(false));
    }

    /** A copy of a report arrives at the leader; its answer gets lost. */
    void deliver(Heartbeat late) {
        deliver(leader(), late);
    }

    void deliver(String node, Heartbeat late) {
        Controller c = nodes.get(node).controller;
        if (c != null) {
            c.heartbeat(late);
        }
    }

    /** Loses the state service and the other controllers, but not its workers. */
    void cutFromPeersAndState(String node, World.Cut how, long forMicros) {
        cut(node, SimState.NAME, how, forMicros);
        for (String n : names) {
            if (!n.equals(node)) {
                cut(node, n, how, forMicros);
            }
        }
    }

    /** A zone with its controllers and machines is cut off from everything outside. */
    void cutZone(String zone, World.Cut how, long forMicros) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of(SimState.NAME, SimCloud.NAME));
        names.forEach(n -> (zoneOf(n).equals(zone) ? inside : outside).add(n));
        cloud.workers().forEach(w -> (w.zone.equals(zone) ? inside : outside).add(w.id));
        for (String a : inside) {
            boolean node = names.contains(a);
            for (String b : outside) {
                if (node || names.contains(b)) {
                    cut(a, b, how, forMicros);
                }
            }
            if (node) {
                unreachable.add(a);
                world.after(forMicros, () -> unreachable.remove(a));
            }
        }
    }

    void cutMachine(SimWorker w, World.Cut how, long forMicros) {
        for (String n : names) {
            cut(n, w.id, how, forMicros);
        }
    }

    /** Users call off so many jobs that run, within a fifth of a second; up to eight of their machines hang. */
    List<String> cancelRunning(int count, long hangMicros) {
        List<String> chosen = rules.running().stream().limit(count).toList();
        List<String> hosts = chosen.stream()
                .flatMap(j -> rules.hostsOf(j).stream())
                .distinct()
                .limit(8)
                .toList();
        chosen.forEach(j -> world.after(world.random.nextInt(200_000), () -> cancel(j)));
        cloud.workers().stream()
                .filter(w -> hangMicros > 0 && hosts.contains(w.id))
                .forEach(w -> w.hangFor(hangMicros));
        return chosen;
    }

    private void endedOnMachines(String job) {
        if (cancelledAtEnd > 0 && world.random.nextDouble() < cancelledAtEnd) {
            cancel(job);
        }
    }

    /** Users repeat submissions, cancel what is done, and send jobs that can never run. */
    void oddRequests(long forMicros) {
        for (long at = 0; at < forMicros; at += 700_000) {
            world.after(at, () -> {
                List<String> known = List.copyOf(jobs.keySet());
                if (!known.isEmpty()) {
                    JobSpec spec = jobs.get(known.get(world.random.nextInt(known.size())));
                    if (rules.acceptedJob(spec.id())) {
                        ask(spec.id(), (c, then) -> c.submit(spec, then), answer -> {});
                    }
                    if (rules.finalTold(spec.id()) == JobState.DONE) {
                        cancel(spec.id());
                    }
                }
                JobSpec odd =
                        withCpu(job(false, 3, Priority.STANDARD, "free", true, false, false, SECOND, 0), 3, 90_000);
                rules.submittingUnschedulable(odd.id());
                ask(
                        odd.id(),
                        (c, then) -> c.submit(odd, then),
                        answer -> unschedulableRefused += answer instanceof JobResponse.Unschedulable ? 1 : 0);
            });
        }
    }

    String leader() {
        return leadersOtherThan(null).findFirst().orElse(names.get(0));
    }

    /** The leader other than this one, which may not know yet that it was replaced. */
    String leaderOtherThan(String former) {
        return leadersOtherThan(former).findFirst().orElse(former);
    }

    private Stream<String> leadersOtherThan(String one) {
        return nodes.values().stream()
                .filter(n -> n.controller != null && n.controller.leader())
                .map(n -> n.name)
                .filter(n -> !n.equals(one));
    }

    /** How many reports this controller answered so far as one that may. */
    int reportsAccepted(String node) {
        return reportsAccepted.getOrDefault(node, 0);
    }

    /** What the leader tells of its recovery; null while nobody leads. */
    RecoveryStatus recovery() {
        Node leader = nodes.get(leader());
        return leader.controller != null && leader.controller.leader() ? leader.controller.recoveryStatus() : null;
    }

    /** What a controller tells whose recovery is in this phase; null when there is none. */
    RecoveryStatus recovery(RecoveryPhase phase) {
        return nodes.values().stream()
                .filter(n -> n.controller != null && n.controller.term() > 0)
                .map(n -> n.controller.recoveryStatus())
                .filter(status -> status.phase() == phase)
                .findFirst()
                .orElse(null);
    }

    /** The description of this job. */
    JobSpec describedAs(String job) {
        return jobs.get(job);
    }

    /** What this controller tells of recoveries; null while it is down. */
    RecoveryStatus recoveryAt(String node) {
        Controller controller = nodes.get(node).controller;
        return controller == null ? null : controller.recoveryStatus();
    }

    /** All controllers end at once; each comes back within the given time. */
    void crashAll(long longestDownMicros) {
        names.forEach(n -> crash(n, 20_000 + (long) (world.random.nextDouble() * longestDownMicros)));
    }

    String anyNode() {
        return names.get(world.random.nextInt(names.size()));
    }

    SimWorker anyWorker() {
        List<SimWorker> all = cloud.workers();
        return all.isEmpty() ? null : all.get(world.random.nextInt(all.size()));
    }

    // ---- users -------------------------------------------------------------------------------------------------

    JobSpec job(
            boolean service,
            int tasks,
            Priority priority,
            String team,
            boolean spot,
            boolean spread,
            boolean oneZone,
            long runMicros,
            long checkpointMicros) {
        String id = String.format("run-%06d", ++submissions);
        return new JobSpec(
                id,
                service ? "svc" : "bat",
                team,
                service ? JobSpec.Shape.SERVICE : isGang(tasks, oneZone) ? JobSpec.Shape.GANG : JobSpec.Shape.BATCH,
                priority,
                tasks,
                service ? 1_000 : 2_000,
                0,
                3_000,
                "img-" + world.random.nextInt(3),
                1.0,
                null,
                null,
                oneZone,
                spread,
                spot,
                runMicros,
                checkpointMicros,
                checkpointMicros > 0 ? SECOND : 0,
                service ? JobSpec.NO_DEADLINE : 2 * runMicros + 30 * SECOND);
    }

    /** Some sizes are gangs, unless a zone of this deployment, services beside them, could never hold one whole. */
    private boolean isGang(int tasks, boolean oneZone) {
        long fullPriceCpu = shape.perOffer * (4_000L + 16_000);
        return tasks % 5 == 4 && (!oneZone || tasks * 2_000L <= fullPriceCpu / 2);
    }

    /** Another job like this one, of so many tasks that take so little. */
    JobSpec withCpu(JobSpec j, int tasks, long cpuMillis) {
        String id = String.format("run-%06d", ++submissions);
        return like(j, id, j.jobClass(), tasks, cpuMillis, 100, j.deadlineMicros());
    }

    /** The same job, without a deadline. */
    JobSpec withoutDeadline(JobSpec j) {
        return like(j, j.id(), j.jobClass(), j.tasks(), j.cpuMillis(), j.memoryMillis(), JobSpec.NO_DEADLINE);
    }

    /** The same job, of another class. */
    JobSpec ofClass(JobSpec j, String jobClass) {
        return like(j, j.id(), jobClass, j.tasks(), j.cpuMillis(), j.memoryMillis(), j.deadlineMicros());
    }

    private static JobSpec like(
            JobSpec j, String id, String jobClass, int tasks, long cpuMillis, long memoryMillis, long deadlineMicros) {
        return new JobSpec(
                id,
                jobClass,
                j.team(),
                j.shape(),
                j.priority(),
                tasks,
                cpuMillis,
                0,
                memoryMillis,
                j.image(),
                j.imageGb(),
                j.types(),
                j.zone(),
                j.oneZone(),
                j.spread(),
                j.spot(),
                j.estimateMicros(),
                j.checkpointMicros(),
                j.saveMicros(),
                deadlineMicros);
    }

    JobSpec randomJob() {
        boolean service = world.random.nextInt(3) == 0;
        return job(
                service,
                1 + world.random.nextInt(service ? 5 : 12),
                service ? Priority.CRITICAL : world.random.nextBoolean() ? Priority.STANDARD : Priority.BEST_EFFORT,
                world.random.nextInt(3) == 0 ? "tight" : "free",
                !service && world.random.nextBoolean(),
                service && world.random.nextBoolean(),
                !service && world.random.nextInt(4) == 0,
                (2 + world.random.nextInt(15)) * SECOND,
                world.random.nextInt(2) * 3L * SECOND);
    }

    /** Workers find the description of this job, although no user has submitted it to a controller. */
    void describe(JobSpec spec) {
        jobs.put(spec.id(), spec);
    }

    /** A user submits, polls to the end and may cancel after a while (negative: never). */
    void submit(JobSpec spec, long cancelAfter) {
        jobs.put(spec.id(), spec);
        rules.submitting(spec);
        ask(spec.id(), (c, then) -> c.submit(spec, then), answer -> {
            if (answer instanceof JobResponse.Status) {
                if (cancelAfter >= 0) {
                    world.after(cancelAfter, () -> cancel(spec.id()));
                }
                poll(spec.id());
            } else if (!(answer instanceof JobResponse.Unschedulable)) {
                world.after(2 * SECOND, () -> submit(spec, cancelAfter));
            }
        });
    }

    /** The same at one controller alone, until it accepts. */
    void submitAt(String node, JobSpec spec) {
        jobs.put(spec.id(), spec);
        rules.submitting(spec);
        askAt(node, spec.id(), (c, then) -> c.submit(spec, then), answer -> {
            if (answer instanceof JobResponse.Status) {
                poll(spec.id());
            } else {
                world.after(300_000, () -> submitAt(node, spec));
            }
        });
    }

    private void poll(String id) {
        world.after(
                5 * SECOND,
                () -> ask(id, (c, then) -> c.poll(id, then), answer -> {
                    poll(id);
                    if (answer instanceof JobResponse.Status s && s.state() == JobState.DONE) {
                        doneTold++;
                    }
                }));
    }

    void cancel(String id) {
        cancelAt(anyNode(), id);
    }

    /** The same at one controller first. */
    void cancelAt(String node, String id) {
        rules.cancelling(id);
        askAt(node, id, (c, then) -> c.cancel(id, then), answer -> {
            if (!(answer instanceof JobResponse.Status)) {
                world.after(2 * SECOND, () -> cancel(id));
            }
        });
    }

    private interface Question {
        void ask(Controller c, Consumer<JobResponse> then);
    }

    private final Map<String, Integer> asking = new LinkedHashMap<>();

    private void ask(String id, Question question, Consumer<JobResponse> then) {
        askAt(anyNode(), id, question, then);
    }

    private void askAt(String node, String id, Question question, Consumer<JobResponse> then) {
        String user = "user-" + id;
        // Answers are compared only when the question was put after the earlier answer: so one question at a time.
        if (asking.getOrDefault(id, 0) > 0) {
            world.after(200_000, () -> askAt(node, id, question, then));
            return;
        }
        asking.put(id, 1);
        world.<JobResponse>callLater(
                user,
                node,
                USER_TIMEOUT,
                answer -> {
                    Controller c = nodes.get(node).controller;
                    if (c != null && !unreachable.contains(node)) {
                        question.ask(c, answer);
                    }
                },
                answer -> {
                    asking.put(id, 0);
                    if (answer != null) {
                        rules.told(id, answer);
                    }
                    then.accept(answer);
                });
    }

    void pollUnknownJob() {
        String id = "run-999" + world.random.nextInt(1000);
        ask(id, (c, then) -> c.poll(id, then), answer -> {});
    }

    List<String> unfinishedBatches() {
        List<String> list = new ArrayList<>();
        for (JobSpec s : jobs.values()) {
            if (!s.service() && rules.acceptedJob(s.id()) && rules.finalTold(s.id()) == null) {
                list.add(s.id());
            }
        }
        return list;
    }

    void run(long until) {
        world.run(until, rules::check);
    }

    /** The same with the check that every job stays known, from the time on at which the last trouble is over. */
    void run(long troublesOver, long until) {
        world.after(troublesOver - world.now(), () -> watchKnown(troublesOver));
        run(until);
    }

    private void watchKnown(long over) {
        rules.checkKnown(over);
        rules.checkWaiting(cloud.workers());
        world.after(SECOND, () -> watchKnown(over));
    }
}
