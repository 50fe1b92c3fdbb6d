package org.granitepath.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.ProgressRecord;
import org.granitepath.bookkeeping.RecordReplica;
import org.granitepath.bookkeeping.StatePort;
import org.granitepath.bookkeeping.StatePort.Change;
import org.granitepath.bookkeeping.StatePort.Guard;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.Heartbeat.Cause;
import org.granitepath.coordination.Heartbeat.TaskReport;
import org.granitepath.coordination.Heartbeat.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's work for one term of leadership: machines, placements and what is claimed and recorded of jobs. A new
 * term starts from the records alone; whatever a predecessor may have started is unconfirmed until each machine of the
 * inventory has been heard under the new fencing token or is proved gone.
 */
final class Dispatcher implements JobIndex.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    private static final long ATTEMPTS_PER_TERM = 1L << 24;
    private static final long TICK_MICROS = 500_000;
    /** A tick that comes later than this after the last one: we stood still, or fell far behind. */
    private static final long PAUSE_MICROS = 1_000_000;

    private static final long PASS_DELAY_MICROS = 2_000;
    /** The next pass comes no sooner than this many times as long as the last one took. */
    private static final int PASS_SPACING = 4;

    private static final long LONGEST_PASS_SPACING_MICROS = 250_000;
    private static final long ASK_AGAIN_MICROS = 300_000;
    private static final double OVERDUE_REPORTS = 1.5;
    private static final long PROGRESS_DELAY_MICROS = 1_000_000;
    private static final int DEPARTED_REMEMBERED = 4096;
    private static final double MOST_SILENT_SHARE = 0.6;
    private static final int UNCLEARED_ATTEMPTS = 24;

    private final Config config;
    private final Leadership.Term term;
    private final Leadership leadership;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final Timers timers;
    private final WorkerPort workers;
    private final WriteQueue writeQueue;
    private final BatchPlanner batchPlanner;
    private final Scheduler scheduler;
    private final Consolidator consolidator;
    private final MachineInventory inventory;
    private final TeamLimits teamLimits;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final FaultTracker faults = new FaultTracker();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final ArrayDeque<Machine> unheard = new ArrayDeque<>();
    private final Set<Machine> commandsDue = new LinkedHashSet<>();
    /** Machines that are gone, each with the last session heard: late copies of their reports still arrive. */
    private final Map<String, Long> departed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > DEPARTED_REMEMBERED;
        }
    };

    private final long startedMicros;
    private long tickedMicros;
    private boolean ended;
    private int inheritedLeft;
    private long attempts;
    private long passDueMicros;
    private boolean scheduleDue;
    private boolean passTimerSet;
    private int calls;
    private int takeoverCalls;

    Dispatcher(
            Config config,
            Leadership leadership,
            Leadership.Term term,
            StatePort state,
            RecordReplica replica,
            JobIndex jobIndex,
            Timers timers,
            WorkerPort workers) {
        this.config = config;
        this.leadership = leadership;
        this.term = term;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.timers = timers;
        this.workers = workers;
        this.teamLimits = new TeamLimits(config.teams());
        this.batchPlanner = new BatchPlanner(config, this, runtimeEstimator);
        this.scheduler = new Scheduler(config, this, machines.values(), timers, batchPlanner);
        this.consolidator = new Consolidator(this, machines.values());
        this.startedMicros = timers.nowMicros();
        this.tickedMicros = startedMicros;
        this.writeQueue = new WriteQueue(
                state,
                replica,
                timers,
                config.txnOps(),
                config.stateWrites() * 0.65,
                false,
                () -> List.of(new Guard(Keys.LEADER, term.leaderStamp())),
                () -> !ended);
        this.inventory = new MachineInventory(
                config, term, replica, writeQueue, timers, machines, this::tokenRaised, this::scheduleSoon);
        inheritMachines();
        for (JobRecord record : jobIndex.openJobs()) {
            open(record);
        }
        jobIndex.listen(this);
        if (inheritedLeft == 0) {
            resolveUnconfirmedTasks();
        }
        LOG.info(
                "term with fencing token {}: {} machines taken over, {} open jobs",
                term.fencingToken(),
                machines.size(),
                jobs.size());
        timers.after(TICK_MICROS, this::tick);
        scheduleSoon();
        askInherited();
    }

    void end() {
        ended = true;
        jobIndex.listen(null);
    }

    boolean ended() {
        return ended;
    }

    Collection<Machine> machines() {
        return machines.values();
    }

    Machine machine(String id) {
        return machines.get(id);
    }

    Collection<ActiveJob> jobs() {
        return jobs.values();
    }

    Map<String, MachineType> types() {
        return types;
    }

    void typesChanged(List<MachineType> list) {
        for (MachineType t : list) {
            types.put(t.name(), t);
        }
        for (Machine m : machines.values()) {
            m.type = types.get(m.typeName);
        }
        scheduleSoon();
    }

    /** Keeps the machine types on record, for controllers that start while the cloud is away. */
    void recordTypes(List<MachineType> list) {
        if (replica.value(Keys.TYPES) == null) {
            writeQueue.enqueue(
                    Keys.TYPES,
                    WriteQueue.Urgency.PROGRESS_ONLY,
                    2_000_000,
                    () -> replica.value(Keys.TYPES) != null
                            ? List.of()
                            : List.of(Change.write(
                                    Keys.TYPES,
                                    Map.of(
                                            "types",
                                            list.stream()
                                                    .map(MachineType::toMap)
                                                    .toList()))),
                    epoch -> {});
        }
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    private void inheritMachines() {
        long leaseOver = startedMicros + config.maxDisconnectedMicros() + leaseMicros();
        for (Machine m : inventory.takeOver()) {
            m.inherited = true;
            m.heardMicros = startedMicros;
            m.firstHeardMicros = startedMicros;
            m.idleSinceMicros = startedMicros;
            m.unconfirmedMicros = startedMicros;
            m.leaseOverMicros = leaseOver;
            machines.put(m.id, m);
            unheard.add(m);
            inheritedLeft++;
        }
    }

    private void confirmInherited(Machine m) {
        if (m.inherited) {
            m.inherited = false;
            if (--inheritedLeft == 0) {
                LOG.info("every machine taken over is heard or proved gone: no task is unconfirmed any more");
                resolveUnconfirmedTasks();
            }
        }
    }

    private void resolveUnconfirmedTasks() {
        for (ActiveJob j : jobs.values()) {
            j.resolveUnconfirmed();
        }
        scheduleSoon();
    }

    /**
     * Speeds a takeover up: calls the machines not yet heard, a few at a time, and shows them the new fencing token.
     */
    private void askInherited() {
        while (!ended && !unheard.isEmpty() && takeoverCalls < config.callsAtOnce() * 2 / 3) {
            Machine m = unheard.poll();
            if (!m.inherited || m.phase != Machine.Phase.UNCONFIRMED || m.fenced) {
                continue;
            }
            if (m.callUnderWay) {
                askAgain(m);
                continue;
            }
            takeoverCalls++;
            callWorker(m, List.of(), List.of(), () -> {
                takeoverCalls--;
                if (m.inherited) {
                    askAgain(m);
                }
                askInherited();
            });
        }
    }

    private void askAgain(Machine m) {
        timers.after(ASK_AGAIN_MICROS, () -> {
            unheard.add(m);
            askInherited();
        });
    }

    /** From the last answer that a worker may have had to the end of its lease, at the latest. */
    private long leaseMicros() {
        return Config.withDrift(config.leaseMicros()) + Config.MARGIN_MICROS;
    }

    private void tokenRaised(Machine m) {
        long now = timers.nowMicros();
        if (m.unresponsive(now, config.reportMicros())) {
            m.fenced = true;
            if (config.peerIn(m.zone) && m.leaseOverMicros > 0) {
                // A controller cut off together with it may not know yet, and go on under the former fencing token.
                m.leaseOverMicros = Math.max(m.leaseOverMicros, now + config.maxDisconnectedMicros() + leaseMicros());
            }
        }
        if (m.phase == Machine.Phase.READY) {
            m.transition(Machine.Phase.UNCONFIRMED, "fencing token raised to " + m.fencingToken);
            m.unconfirmedMicros = now;
        }
        if (!m.unresponsive(now, config.reportMicros())) {
            showToken(m);
        }
    }

    /**
     * Shows the worker its present fencing token by a call without commands; when too many are under way, a later
     * tick does.
     */
    private void showToken(Machine m) {
        if (!m.callUnderWay && m.session >= 0 && calls < config.callsAtOnce()) {
            callWorker(m, List.of(), List.of(), () -> {});
        }
    }

    /** Nothing that we or anyone started can be on this machine any more. */
    void proveGone(Machine m, String why) {
        if (m.phase == Machine.Phase.GONE) {
            return;
        }
        m.transition(Machine.Phase.GONE, why);
        for (Placement p : List.copyOf(m.placements.values())) {
            free(p, "machine gone: " + why);
        }
        machines.remove(m.id);
        faults.forget(m);
        commandsDue.remove(m);
        departed.put(m.id, m.session);
        inventory.remove(m);
        confirmInherited(m);
        scheduleSoon();
    }

    /**
     * Its lease is over: nothing can be on it any more. It stays ours, since it may only be cut off: when it is heard
     * again, in a later session, it must show that it hears us before it is given work.
     */
    private void leaseExpired(Machine m) {
        LOG.info(
                "machine {} ({} {}{}): its lease is over, {} tasks are proved gone",
                m.id,
                m.typeName,
                m.zone,
                m.spot ? " spot" : "",
                m.placements.size());
        m.leaseOverMicros = 0; // until it is heard again
        m.session = Math.max(m.session, 0) + 1;
        m.sequence = -1;
        m.cleanupCommands.clear();
        m.directAttempts.clear();
        for (Placement p : List.copyOf(m.placements.values())) {
            free(p, "its worker's lease is over");
        }
        if (m.phase == Machine.Phase.READY) {
            m.transition(Machine.Phase.UNCONFIRMED, "its lease is over");
            m.unconfirmedMicros = timers.nowMicros();
        }
        inventory.requestToken(m, "its lease is over");
        confirmInherited(m);
        scheduleSoon();
    }

    /** The cloud took this machine back for good. */
    void returned(String id) {
        Machine m = machines.get(id);
        if (m != null) {
            proveGone(m, "returned to the cloud");
        }
        departed.put(id, Long.MAX_VALUE);
    }

    /**
     * Whether most machines have fallen silent to us while a peer hears them: then it had better own them, before
     * their leases run out.
     */
    boolean cutFromWorkers(int turnedAwayByPeer) {
        long now = timers.nowMicros();
        int silent = 0;
        for (Machine m : machines.values()) {
            silent += m.unresponsive(now, config.reportMicros()) ? 1 : 0;
        }
        return silent >= MOST_SILENT_SHARE * machines.size()
                && turnedAwayByPeer >= Math.max(2, silent / 2)
                && now - startedMicros > config.leaseMicros();
    }

    void drain(Machine m, String why) {
        if (m.phase == Machine.Phase.READY) {
            m.transition(Machine.Phase.DRAINING, why);
        }
    }

    // ---- reports -----------------------------------------------------------------------------------------------

    HeartbeatResponse heartbeat(Heartbeat heartbeat) {
        Machine m = machines.get(heartbeat.host());
        if (m == null) {
            if (heartbeat.session() <= departed.getOrDefault(heartbeat.host(), Long.MIN_VALUE)) {
                LOG.debug("a late copy of a report of {}, which is gone", heartbeat.host());
                return new HeartbeatResponse.Unavailable();
            }
            m = new Machine(
                    heartbeat.host(), heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
            m.type = types.get(m.typeName);
            m.fencingToken = term.fencingToken();
            m.firstHeardMicros = timers.nowMicros();
            m.rentedMicros = m.firstHeardMicros;
            m.unconfirmedMicros = m.firstHeardMicros;
            m.idleSinceMicros = m.firstHeardMicros;
            if (heartbeat.fencingToken() > m.fencingToken) {
                return new HeartbeatResponse.Unavailable();
            }
            LOG.info(
                    "machine {} ({} {}{}) reports for the first time", m.id, m.typeName, m.zone, m.spot ? " spot" : "");
            machines.put(m.id, m);
            inventory.add(m);
        }
        if (heartbeat.fencingToken() > m.fencingToken) {
            // Someone with a higher fencing token gives commands there: either we are replaced, or our own raise is
            // under way.
            LOG.info(
                    "machine {} has seen fencing token {}, ours is {}", m.id, heartbeat.fencingToken(), m.fencingToken);
            replica.barrier(fresh -> {});
            return new HeartbeatResponse.Unavailable();
        }
        if (!hear(m, heartbeat, true)) {
            m.fenced = false;
            // Overtaken by the answer to a direct command: nothing to learn, but the worker is where it should be.
            return m.phase != Machine.Phase.GONE && heartbeat.session() == m.session
                    ? new HeartbeatResponse.Accepted(m.fencingToken, stopsFor(m))
                    : new HeartbeatResponse.Unavailable();
        }
        if (scheduleDue && timers.nowMicros() >= passDueMicros) {
            schedule();
        } else if (scheduleDue) {
            scheduleSoon();
        }
        return new HeartbeatResponse.Accepted(m.fencingToken, commandsFor(m, true));
    }

    /** Takes a report in; false when it is older than one already known. */
    private boolean hear(Machine m, Heartbeat heartbeat, boolean isReport) {
        if (m.phase == Machine.Phase.GONE
                || !heartbeat.newerThan(m.session, m.sequence)
                || heartbeat.fencingToken() > m.fencingToken) {
            return false;
        }
        long now = timers.nowMicros();
        boolean current = heartbeat.fencingToken() == m.fencingToken;
        if (isReport && m.session >= 0 && heartbeat.session() > m.session) {
            // Its reports come, but do our answers get there? It must show that before it is given work again.
            inventory.requestToken(m, "its session moved on to " + heartbeat.session());
        }
        m.session = heartbeat.session();
        m.sequence = heartbeat.sequence();
        if (isReport) {
            if (m.unresponsive(now, config.reportMicros())) {
                m.unconfirmedMicros = now; // it could neither show anything before nor be given work
                m.idleSinceMicros = now;
            }
            // Answers to direct calls don't count: without reports the worker's lease runs out all the same.
            m.heardMicros = now;
            m.probeFailed = false;
        }
        m.address = heartbeat.address();
        m.fenced &= !isReport;
        long leaseOver = now + leaseMicros();
        m.leaseOverMicros = current ? leaseOver : Math.max(m.leaseOverMicros, leaseOver);
        m.cleanupCommands.clear();
        int uncleared = 0;
        Set<TaskId> listed = new HashSet<>();
        for (TaskReport r : heartbeat.tasks()) {
            Placement p = m.placements.get(r.task());
            if (p != null && p.attempt == r.attempt()) {
                listed.add(r.task());
                p.seen = true;
                p.certain |= current;
                p.unansweredToken = 0;
                update(m, p, r, now);
            } else if (handleUnknownTask(m, r, current, now)) {
                listed.add(r.task());
            }
            if (r.state() == TaskState.EXITED) {
                if (mayClear(m, r)) {
                    m.cleanupCommands.add(WorkerCommand.clear(r.task(), r.attempt()));
                } else {
                    uncleared++;
                }
            }
        }
        for (Placement p : List.copyOf(m.placements.values())) {
            if (!listed.contains(p.task) && provedAbsent(p, heartbeat, current, isReport)) {
                if (!p.seen && p.sentInAnswer && p.session == heartbeat.session()) {
                    inventory.requestToken(m, "an answer to it was lost");
                }
                free(
                        p,
                        "not in report " + heartbeat.session() + "." + heartbeat.sequence() + " under fencing token "
                                + heartbeat.fencingToken());
            }
        }
        // What runs is not counted: a machine with more tasks than this would want a new fencing token with every
        // report.
        if (uncleared > UNCLEARED_ATTEMPTS) {
            inventory.requestTokenForCleanup(m);
        }
        if (current && m.phase == Machine.Phase.UNCONFIRMED) {
            m.transition(Machine.Phase.READY, "heard under fencing token " + m.fencingToken);
            scheduleDue = true;
        }
        if (current) {
            confirmInherited(m);
        }
        if (heartbeat.noticeMicros() >= 0 && m.phase == Machine.Phase.READY) {
            drain(m, "the cloud takes it in " + heartbeat.noticeMicros() / 1_000_000 + " s");
            evacuate(m, heartbeat.noticeMicros());
        }
        return true;
    }

    private boolean provedAbsent(Placement p, Heartbeat heartbeat, boolean current, boolean isReport) {
        if (p.session < heartbeat.session()) {
            return true;
        }
        if (!current || p.phase == Placement.Phase.ASSIGNED) {
            return false;
        }
        if (p.unansweredToken != 0 && p.unansweredToken >= heartbeat.fencingToken()) {
            return false;
        }
        return p.seen || isReport || !p.sentInAnswer;
    }

    private void update(Machine m, Placement p, TaskReport r, long now) {
        switch (r.state()) {
            case FETCHING -> {
                if (p.phase == Placement.Phase.ASSIGNED || p.phase == Placement.Phase.SENT) {
                    p.transition(Placement.Phase.FETCHING, "reported");
                }
            }
            case RUNNING -> {
                if (p.runningSinceMicros < 0) {
                    p.runningSinceMicros = now;
                    m.imageSeen(p.job.spec.image());
                }
                if (p.phase != Placement.Phase.STOPPING) {
                    p.transition(Placement.Phase.RUNNING, "reported");
                }
                if (now - p.runningSinceMicros >= FaultTracker.PROOF_MICROS && faults.wantsProof(p)) {
                    drainFaulty(faults.proved(p, now));
                }
            }
            case SAVING -> p.transition(Placement.Phase.STOPPING, "saving");
            case EXITED -> exited(m, p, r, now);
        }
    }

    private void exited(Machine m, Placement p, TaskReport r, long now) {
        ActiveJob job = p.job;
        if (r.cause() == Cause.DONE && !job.spec.service()) {
            job.markDone(r.task().index());
            drainFaulty(faults.proved(p, now));
            if (p.runningSinceMicros >= 0 && p.certain && !p.takenOver) {
                runtimeEstimator.finished(job, now - p.runningSinceMicros);
            }
            recordProgress(job, WriteQueue.Urgency.PROGRESS_ONLY, PROGRESS_DELAY_MICROS);
        } else if (r.cause() == Cause.FAILED) {
            failed(m, job, now);
        } else if (r.cause() == Cause.UNKNOWN_JOB || r.cause() == Cause.NO_ROOM) {
            job.notBeforeMicros = now + 1_000_000;
        }
        free(p, "exited: " + r.cause());
        endIfDone(job);
        scheduleDue = true;
    }

    /** A failure mostly means a faulty machine, now and then a faulty job. */
    private void failed(Machine m, ActiveJob job, long now) {
        LOG.info("a task of {} failed on {}", job.spec.id(), m.id);
        drainFaulty(faults.failed(m, job, now));
    }

    private void drainFaulty(List<Machine> faulty) {
        for (Machine machine : faulty) {
            drain(machine, "faulty: tasks of several jobs failed there");
        }
    }

    /** A task on the machine that we did not place in this term; true when it is now a placement of ours. */
    private boolean handleUnknownTask(Machine m, TaskReport r, boolean current, long now) {
        TaskId id = r.task();
        ActiveJob job = jobs.get(id.job());
        boolean open = job != null && job.phase == ActiveJob.Phase.OPEN && id.index() < job.spec.tasks();
        if (r.state() == TaskState.EXITED) {
            if (open && r.cause() == Cause.DONE && !job.spec.service() && !job.done.contains(id.index())) {
                Placement other = job.placements.get(id.index());
                job.markDone(id.index());
                recordProgress(job, WriteQueue.Urgency.PROGRESS_ONLY, PROGRESS_DELAY_MICROS);
                if (other != null) {
                    stop(other, 0, "done elsewhere");
                } else {
                    endIfDone(job);
                }
            }
            return false;
        }
        if (open
                && !job.done.contains(id.index())
                && !job.placements.containsKey(id.index())
                && !m.placements.containsKey(id)
                && id.index() < job.claimed) {
            Placement p = new Placement(id, job, m, r.attempt(), m.session, now);
            p.seen = true;
            p.certain = current;
            p.takenOver = true;
            place(p);
            p.transition(Placement.Phase.SENT, "taken over");
            update(m, p, r, now);
            return true;
        }
        LOG.info("stopping {} attempt {} on {}: job is {}", id, r.attempt(), m.id, job == null ? "not open" : "open");
        m.cleanupCommands.add(WorkerCommand.stop(id, r.attempt(), 0));
        commandsDue(m);
        scheduleDue = true;
        return false;
    }

    /**
     * Only a durable outcome is cleared away. An attempt that a direct command started stays listed until the fencing
     * token has been raised: a late copy of that order would start it once more.
     */
    private boolean mayClear(Machine m, TaskReport r) {
        long commandToken = m.directAttempts.get(r.attempt());
        if (commandToken >= m.fencingToken) {
            return false;
        }
        m.directAttempts.remove(r.attempt());
        if (r.cause() != Cause.DONE || jobIndex.openJob(r.task().job()) == null) {
            return true;
        }
        return jobIndex.progressOf(r.task().job()).done().contains(r.task().index());
    }

    /** It was assigned and not sent, and is not to be after all: there is no more room by that than before. */
    void withdraw(Placement p, String why) {
        boolean due = scheduleDue;
        free(p, why);
        scheduleDue = due;
    }

    void free(Placement p, String why) {
        if (!p.live()) {
            return;
        }
        p.transition(Placement.Phase.FREED, why);
        p.machine.remove(p, timers.nowMicros());
        teamLimits.freed(p.job.spec);
        // Taken over from a report that may be old: that it is not here proves nothing about machines not yet heard.
        p.job.unplace(p, !p.certain && inheritedLeft > 0);
        if (p.job.phase == ActiveJob.Phase.OVER && p.job.placements.isEmpty()) {
            jobs.remove(p.job.spec.id());
            faults.forget(p.job);
        }
        scheduleDue = true;
    }

    // ---- commands ------------------------------------------------------------------------------------------------

    void stop(Placement p, long graceMicros, String why) {
        if (p.phase == Placement.Phase.ASSIGNED) {
            free(p, why);
        } else if (p.phase == Placement.Phase.STOPPING && graceMicros < p.graceMicros) {
            // Told to save before, and cancelled meanwhile: it need not, and must not go on.
            p.graceMicros = graceMicros;
            commandsDue(p.machine);
        } else if (p.live() && p.phase != Placement.Phase.STOPPING) {
            LOG.debug("stopping {} on {}: {}", p.task, p.machine.id, why);
            p.graceMicros = graceMicros;
            p.transition(Placement.Phase.STOPPING, why);
            commandsDue(p.machine);
        }
    }

    /** What is to end there, as of now. Every answer that renews a lease holds it: no task outlives its end by that. */
    private static List<WorkerCommand> stopsFor(Machine m) {
        List<WorkerCommand> commands = new ArrayList<>(m.cleanupCommands);
        for (Placement p : m.placements.values()) {
            if (p.phase == Placement.Phase.STOPPING) {
                commands.add(WorkerCommand.stop(p.task, p.attempt, p.graceMicros));
            }
        }
        return commands;
    }

    /** All that this machine is to do. Stops are repeated until they are seen to work; starts go out once. */
    private List<WorkerCommand> commandsFor(Machine m, boolean inAnswer) {
        List<WorkerCommand> commands = stopsFor(m);
        commandsDue.remove(m);
        boolean starts = m.takesTasks() && leadership.mayStart();
        for (Placement p : m.placements.values()) {
            if (p.phase == Placement.Phase.ASSIGNED && starts) {
                commands.add(WorkerCommand.start(p.task, p.attempt));
                p.sentInAnswer = inAnswer;
                if (!inAnswer) {
                    p.unansweredToken = m.fencingToken;
                    m.directAttempts.put(p.attempt, m.fencingToken);
                }
                p.transition(Placement.Phase.SENT, inAnswer ? "in an answer" : "direct");
            }
        }
        return commands;
    }

    private void commandsDue(Machine m) {
        commandsDue.add(m);
        sendSoon();
    }

    /** Commands to machines that are quiet would only time out; should one report after all, its answer holds them. */
    private void sendCommands() {
        if (!leadership.answersWorkers()) {
            return; // we may long have a successor that we don't know of
        }
        long now = timers.nowMicros();
        for (Machine m : List.copyOf(commandsDue)) {
            if (calls >= config.callsAtOnce()) {
                return;
            }
            if (!m.callUnderWay && m.session >= 0 && !m.unresponsive(now, config.reportMicros())) {
                // An answer tells only of the starts in its own call: one sent before, without an answer, may come yet.
                List<Placement> starts = m.placements.values().stream()
                        .filter(p -> p.phase == Placement.Phase.ASSIGNED)
                        .toList();
                List<WorkerCommand> commands = commandsFor(m, false);
                starts = starts.stream()
                        .filter(p -> p.phase == Placement.Phase.SENT)
                        .toList();
                if (!commands.isEmpty()) {
                    callWorker(m, commands, starts, () -> {});
                }
            }
        }
    }

    private void callWorker(Machine m, List<WorkerCommand> commands, List<Placement> starts, Runnable answered) {
        m.callUnderWay = true;
        m.fenced =
                false; // the worker may see the fencing token, and a zone lease keeper that knows it may go on under it
        m.probedMicros = timers.nowMicros();
        calls++;
        long fencingToken = m.fencingToken;
        // Of a machine taken over the session is not known; a wrong guess is answered with the right one.
        workers.send(m.address, fencingToken, Math.max(1, m.session), commands, reply -> {
            calls--;
            m.callUnderWay = false;
            if (!ended && m.phase != Machine.Phase.GONE) {
                take(m, fencingToken, starts, reply);
                sendSoon();
            }
            answered.run();
        });
    }

    private void take(Machine m, long fencingToken, List<Placement> starts, WorkerPort.Reply reply) {
        m.probeFailed = reply.report() == null && m.heardMicros < m.probedMicros;
        if (reply.report() == null) {
            if (!starts.isEmpty()) {
                inventory.requestToken(m, "a direct start has no answer");
            }
            return;
        }
        for (Placement p : starts) {
            if (p.unansweredToken == fencingToken) {
                p.unansweredToken = 0;
            }
        }
        hear(m, reply.report(), false);
        if (!reply.executed()
                && m.phase == Machine.Phase.UNCONFIRMED
                && reply.report().fencingToken() <= m.fencingToken) {
            showToken(m);
        }
    }

    // ---- jobs --------------------------------------------------------------------------------------------------

    private void open(JobRecord record) {
        if (record.term() > term.fencingToken()) {
            // Claimed for a successor of ours that we have not heard of yet.
            return;
        }
        ActiveJob job = new ActiveJob(record, jobIndex.progressOf(record.spec().id()), timers.nowMicros());
        jobs.put(record.spec().id(), job);
        // What was claimed for us from the first can't have been started by a predecessor.
        if (inheritedLeft == 0 || record.term() == term.fencingToken()) {
            job.resolveUnconfirmed();
        }
        endIfDone(job);
    }

    private void endIfDone(ActiveJob job) {
        if (job.phase == ActiveJob.Phase.OPEN && job.left() == 0) {
            job.transition(ActiveJob.Phase.ENDING, "all tasks done");
            recordDone(job);
        }
    }

    @Override
    public void accepted(JobRecord record) {
        if (!jobs.containsKey(record.spec().id())) {
            open(record);
            ActiveJob job = jobs.get(record.spec().id());
            if (job != null) {
                arrivalRate.accepted(job, timers.nowMicros());
            }
            scheduleSoon();
        }
    }

    @Override
    public void progressed(String id, ProgressRecord progress) {
        ActiveJob job = jobs.get(id);
        if (job != null && progress.claimed() > job.claimed) {
            job.claimed = progress.claimed();
            scheduleSoon();
        }
    }

    @Override
    public void ended(String id, JobIndex.Final how) {
        ActiveJob job = jobs.get(id);
        if (job == null) {
            return;
        }
        long age = ageMicros(job, timers.nowMicros());
        job.transition(ActiveJob.Phase.OVER, how.toString());
        if (how == JobIndex.Final.DONE) {
            boolean late = job.spec.hasDeadline() && age > job.spec.deadlineMicros();
            LOG.info(
                    "job {} of {} ({} tasks) done after {} s{}",
                    id,
                    job.spec.jobClass(),
                    job.spec.tasks(),
                    age / 1_000_000,
                    !job.spec.hasDeadline()
                            ? ""
                            : (late ? ", LATE, due after " : ", due after ") + job.spec.deadlineMicros() / 1_000_000
                                    + " s");
        }
        for (Placement p : List.copyOf(job.placements.values())) {
            stop(p, 0, "job " + how);
        }
        if (job.placements.isEmpty()) {
            jobs.remove(id);
            faults.forget(job);
        }
        scheduleSoon();
    }

    /** Claims the next block of task numbers in good time, before the present one is used up. */
    void claim(ActiveJob job) {
        // When writes have to wait for one another, a job claims all it has: machines would stand idle meanwhile.
        int block = writeQueue.behind() ? job.spec.tasks() : config.tuning().nextBlock(job.spec);
        int want = job.spec.gang() ? job.spec.tasks() : Math.min(job.spec.tasks(), job.fresh + block);
        if (want > job.claimWanted && (want == job.spec.tasks() || job.claimWanted - job.fresh <= block / 2)) {
            job.claimWanted = want;
            recordProgress(job, WriteQueue.Urgency.WORK, 0);
        }
    }

    private void recordProgress(ActiveJob job, WriteQueue.Urgency urgency, long delayMicros) {
        String key = Keys.PROGRESS + job.spec.id();
        writeQueue.enqueue(
                key,
                urgency,
                delayMicros,
                () -> job.phase == ActiveJob.Phase.OVER
                        ? List.of()
                        : List.of(Change.write(
                                key,
                                new ProgressRecord(config.node(), job.claimWanted, job.done, job.running()).toMap())),
                epoch -> scheduleSoon());
    }

    private void recordDone(ActiveJob job) {
        String key = Keys.FINAL + job.spec.id();
        writeQueue.enqueue(
                key,
                WriteQueue.Urgency.SAFETY,
                0,
                () -> replica.value(key) != null
                        ? List.of()
                        : List.of(Change.write(key, JobIndex.finalRecord(JobIndex.Final.DONE))),
                epoch -> {});
    }

    // ---- passes ------------------------------------------------------------------------------------------------

    /** Asks for a pass over the waiting jobs and for commands to go out, shortly and together. */
    void scheduleSoon() {
        scheduleDue = true;
        sendSoon();
    }

    private void sendSoon() {
        if (!passTimerSet) {
            passTimerSet = true;
            timers.after(Math.max(PASS_DELAY_MICROS, passDueMicros - timers.nowMicros()), () -> {
                passTimerSet = false;
                if (!ended) {
                    if (scheduleDue) {
                        schedule();
                    }
                    sendCommands();
                }
            });
        }
    }

    /** A pass over a large fleet takes its time: the next one waits for several times as long, for reports' sake. */
    private void schedule() {
        if (!leadership.mayStart()) {
            return; // what a pass would stop to make room could not be followed by a start
        }
        long began = timers.nowMicros();
        scheduleDue = false;
        scheduler.pass();
        long ended = timers.nowMicros();
        passDueMicros = ended + Math.min(LONGEST_PASS_SPACING_MICROS, PASS_SPACING * (ended - began));
    }

    Placement start(ActiveJob job, Machine m, long now) {
        TaskId id = new TaskId(job.spec.id(), job.takeTask());
        job.lastStartMicros = now;
        // The members of a gang find one another by their common attempt.
        if (!job.spec.gang() || job.placements.isEmpty()) {
            attempts++;
        }
        Placement p = new Placement(id, job, m, term.fencingToken() * ATTEMPTS_PER_TERM + attempts, m.session, now);
        place(p);
        commandsDue(m);
        LOG.debug("task {} goes to {} (running {}, left {})", id, m.id, job.running(), job.left());
        return p;
    }

    private void place(Placement p) {
        p.machine.add(p);
        p.job.place(p);
        teamLimits.placed(p.job.spec);
    }

    /** Whether a job may use this machine now, room aside. */
    boolean eligible(Machine m, ActiveJob job, long now) {
        return m.takesTasks()
                && suits(m, job, now)
                && faults.mayTry(m, job)
                && !m.unresponsive(now, config.reportMicros());
    }

    /**
     * Work that can wait leaves full-price machines alone that no service needs, so that they can be returned, unless
     * it is over before a return could save anything.
     */
    boolean suits(Machine m, ActiveJob job, long now) {
        return m.allowedFor(job.spec)
                && job.zoneAllows(m.zone)
                && (!job.deferrable
                        || m.spot
                        || m.hostsService()
                        || m.keptAsHeadroom
                        || now + runtimeEstimator.taskMicros(job) < m.rentedMicros + Autoscaler.LEAST_CHARGE_MICROS);
    }

    /**
     * While tasks are unconfirmed, or tasks of jobs that are over are still to be stopped, what a team uses is not
     * known.
     */
    boolean teamAllows(JobSpec spec) {
        return teamLimits.allows(spec) && (!teamLimits.limits(spec) || (inheritedLeft == 0 && noOrphanedTasks()));
    }

    /** CPUs that a team's tasks use beyond its guarantee, without those that are being stopped. */
    long borrowedCpu(String team) {
        long stopping = 0;
        for (ActiveJob j : jobs.values()) {
            if (j.spec.team().equals(team)) {
                for (Placement p : j.placements.values()) {
                    stopping += p.phase == Placement.Phase.STOPPING ? j.spec.cpuMillis() : 0;
                }
            }
        }
        return teamLimits.borrowedCpu(team) - stopping;
    }

    private boolean noOrphanedTasks() {
        return machines.values().stream()
                .noneMatch(m -> m.cleanupCommands.stream().anyMatch(o -> o.verb() == WorkerCommand.Verb.STOP));
    }

    /** Time since the job was accepted, as far as the clocks agree. */
    long ageMicros(ActiveJob job, long now) {
        return Math.max(now - job.sinceMicros, timers.timeOfDayMicros() - job.acceptedMicros - config.skewMicros());
    }

    RuntimeEstimator runtimeEstimator() {
        return runtimeEstimator;
    }

    FaultTracker faults() {
        return faults;
    }

    ArrivalRate arrivalRate() {
        return arrivalRate;
    }

    BatchPlanner batchPlanner() {
        return batchPlanner;
    }

    /** A spot machine is about to be taken: work that can be saved or won't finish moves. */
    private void evacuate(Machine m, long noticeMicros) {
        long now = timers.nowMicros();
        for (Placement p : List.copyOf(m.placements.values())) {
            long ran = p.runningSinceMicros < 0 ? 0 : now - p.runningSinceMicros;
            boolean saves = p.job.spec.checkpointMicros() > 0;
            boolean finishes = p.runningSinceMicros >= 0 && p.job.spec.estimateMicros() - ran < noticeMicros / 2;
            if (p.job.spec.service() || saves || !finishes) {
                stop(p, saves ? p.job.spec.saveMicros() : 0, "machine is taken back");
            }
        }
    }

    // ---- time --------------------------------------------------------------------------------------------------

    boolean overdue(Machine m, long now) {
        return now - m.heardMicros > OVERDUE_REPORTS * config.reportMicros();
    }

    /** A report is overdue: whether the machine can be reached at all is soon known. */
    private void probe(Machine m, long now) {
        if (overdue(m, now)
                && !m.fenced
                && !m.inherited
                && !m.callUnderWay
                && now - m.probedMicros > config.reportMicros()
                && calls < config.callsAtOnce() / 2) {
            callWorker(m, List.of(), List.of(), () -> {});
        }
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
            for (Machine m : machines.values()) {
                m.heardMicros = Math.min(now, m.heardMicros + pause);
            }
        }
        for (Machine m : List.copyOf(machines.values())) {
            // A lease that ran out proves something only if we were the leader all along: a successor that we don't
            // know of may be answering this worker. So the state service must have confirmed us after the end.
            if (m.leaseOverMicros > 0 && leadership.confirmedMicros() > m.leaseOverMicros) {
                if (m.fenced || !config.peerIn(m.zone)) {
                    leaseExpired(m);
                } else {
                    inventory.requestToken(m, "its lease is over, unless a controller that is cut off keeps it alive");
                }
            }
            probe(m, now);
            boolean unresponsive = m.unresponsive(now, config.reportMicros());
            if (m.phase == Machine.Phase.UNCONFIRMED
                    && !m.inherited
                    && m.recorded
                    && !m.needsNewToken
                    && !unresponsive
                    && calls < config.callsAtOnce()) {
                showToken(m);
            }
            for (Placement p : unresponsive ? List.copyOf(m.placements.values()) : m.placements.values()) {
                if (unresponsive && p.phase == Placement.Phase.ASSIGNED) {
                    free(p, "never sent: the machine has fallen silent");
                } else if (p.phase == Placement.Phase.STOPPING) {
                    commandsDue(m);
                }
            }
        }
        if (inheritedLeft == 0 && leadership.certain()) {
            consolidator.tick(now);
        }
        scheduleSoon();
    }
}
