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
import org.granitepath.bookkeeping.Mirror;
import org.granitepath.bookkeeping.ProgressRecord;
import org.granitepath.bookkeeping.StatePort;
import org.granitepath.bookkeeping.StatePort.Change;
import org.granitepath.bookkeeping.StatePort.Guard;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.Beat.Cause;
import org.granitepath.coordination.Beat.TaskReport;
import org.granitepath.coordination.Beat.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The owner's work for one term of ownership: machines, placements and what is claimed and recorded of jobs. A new
 * term starts from the records alone; whatever a predecessor may have started is in doubt until each machine on the
 * rosters has been heard under the new baton or is proved gone.
 */
final class Dispatcher implements JobBook.Listener {
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
    private static final long NEWS_MICROS = 1_000_000;
    private static final int DEPARTED_REMEMBERED = 4096;
    private static final double MOST_SILENT_SHARE = 0.6;
    private static final int UNCLEARED_ATTEMPTS = 24;

    private final Config config;
    private final Leadership.Term term;
    private final Leadership leadership;
    private final Mirror mirror;
    private final JobBook book;
    private final Timers timers;
    private final WorkerPort workers;
    private final Ledger ledger;
    private final Outlook outlook;
    private final Scheduler scheduler;
    private final Consolidator consolidator;
    private final Rosters rosters;
    private final TeamLimits teamLimits;
    private final Estimates estimates = new Estimates();
    private final FaultTracker faults = new FaultTracker();
    private final Arrivals arrivals = new Arrivals();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final ArrayDeque<Machine> unheard = new ArrayDeque<>();
    private final Set<Machine> ordersDue = new LinkedHashSet<>();
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
            Mirror mirror,
            JobBook book,
            Timers timers,
            WorkerPort workers) {
        this.config = config;
        this.leadership = leadership;
        this.term = term;
        this.mirror = mirror;
        this.book = book;
        this.timers = timers;
        this.workers = workers;
        this.teamLimits = new TeamLimits(config.teams());
        this.outlook = new Outlook(config, this, estimates);
        this.scheduler = new Scheduler(config, this, machines.values(), timers, outlook);
        this.consolidator = new Consolidator(this, machines.values());
        this.startedMicros = timers.nowMicros();
        this.tickedMicros = startedMicros;
        this.ledger = new Ledger(
                state,
                mirror,
                timers,
                config.txnOps(),
                config.stateWrites() * 0.65,
                false,
                () -> List.of(new Guard(Keys.LEADER, term.leaderStamp())),
                () -> !ended);
        this.rosters = new Rosters(config, term, mirror, ledger, timers, machines, this::raised, this::scheduleSoon);
        inheritMachines();
        for (JobRecord record : book.openJobs()) {
            open(record);
        }
        book.listen(this);
        if (inheritedLeft == 0) {
            settleDoubts();
        }
        LOG.info(
                "term with baton {}: {} machines taken over, {} open jobs", term.baton(), machines.size(), jobs.size());
        timers.after(TICK_MICROS, this::tick);
        scheduleSoon();
        askInherited();
    }

    void end() {
        ended = true;
        book.listen(null);
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
        if (mirror.value(Keys.TYPES) == null) {
            ledger.want(
                    Keys.TYPES,
                    Ledger.Urgency.NEWS,
                    2_000_000,
                    () -> mirror.value(Keys.TYPES) != null
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
        long leaseOver = startedMicros + config.holdMicros() + leaseMicros();
        for (Machine m : rosters.inherit()) {
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

    private void settle(Machine m) {
        if (m.inherited) {
            m.inherited = false;
            if (--inheritedLeft == 0) {
                LOG.info("every machine taken over is heard or proved gone: no task is in doubt any more");
                settleDoubts();
            }
        }
    }

    private void settleDoubts() {
        for (ActiveJob j : jobs.values()) {
            j.settleDoubt();
        }
        scheduleSoon();
    }

    /** Speeds a takeover up: calls the machines not yet heard, a few at a time, and shows them the new baton. */
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

    private void raised(Machine m) {
        long now = timers.nowMicros();
        if (m.quiet(now, config.reportMicros())) {
            m.fenced = true;
            if (config.peerIn(m.zone) && m.leaseOverMicros > 0) {
                // A controller cut off together with it may not know yet, and go on under the former baton.
                m.leaseOverMicros = Math.max(m.leaseOverMicros, now + config.holdMicros() + leaseMicros());
            }
        }
        if (m.phase == Machine.Phase.READY) {
            m.transition(Machine.Phase.UNCONFIRMED, "baton raised to " + m.baton);
            m.unconfirmedMicros = now;
        }
        if (!m.quiet(now, config.reportMicros())) {
            showBaton(m);
        }
    }

    /** Shows the worker its present baton by a call without orders; when too many are under way, a later tick does. */
    private void showBaton(Machine m) {
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
        ordersDue.remove(m);
        departed.put(m.id, m.session);
        rosters.strike(m);
        settle(m);
        scheduleSoon();
    }

    /**
     * Its lease is over: nothing can be on it any more. It stays ours, since it may only be cut off: when it is heard
     * again, in a later session, it must show that it hears us before it is given work.
     */
    private void lapse(Machine m) {
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
        m.housekeeping.clear();
        m.directAttempts.clear();
        for (Placement p : List.copyOf(m.placements.values())) {
            free(p, "its worker's lease is over");
        }
        if (m.phase == Machine.Phase.READY) {
            m.transition(Machine.Phase.UNCONFIRMED, "its lease is over");
            m.unconfirmedMicros = timers.nowMicros();
        }
        rosters.raise(m, "its lease is over");
        settle(m);
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
            silent += m.quiet(now, config.reportMicros()) ? 1 : 0;
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

    BeatAnswer beat(Beat beat) {
        Machine m = machines.get(beat.host());
        if (m == null) {
            if (beat.session() <= departed.getOrDefault(beat.host(), Long.MIN_VALUE)) {
                LOG.debug("a late copy of a report of {}, which is gone", beat.host());
                return new BeatAnswer.Unavailable();
            }
            m = new Machine(beat.host(), beat.address(), beat.type(), beat.zone(), beat.spot());
            m.type = types.get(m.typeName);
            m.baton = term.baton();
            m.firstHeardMicros = timers.nowMicros();
            m.rentedMicros = m.firstHeardMicros;
            m.unconfirmedMicros = m.firstHeardMicros;
            m.idleSinceMicros = m.firstHeardMicros;
            if (beat.baton() > m.baton) {
                return new BeatAnswer.Unavailable();
            }
            LOG.info(
                    "machine {} ({} {}{}) reports for the first time", m.id, m.typeName, m.zone, m.spot ? " spot" : "");
            machines.put(m.id, m);
            rosters.enrol(m);
        }
        if (beat.baton() > m.baton) {
            // Someone with a higher baton gives commands there: either we are deposed, or our own raise is under way.
            LOG.info("machine {} has seen baton {}, ours is {}", m.id, beat.baton(), m.baton);
            mirror.barrier(fresh -> {});
            return new BeatAnswer.Unavailable();
        }
        if (!hear(m, beat, true)) {
            m.fenced = false;
            // Overtaken by the answer to a direct order: nothing to learn, but the worker is where it should be.
            return m.phase != Machine.Phase.GONE && beat.session() == m.session
                    ? new BeatAnswer.Accepted(m.baton, stopsFor(m))
                    : new BeatAnswer.Unavailable();
        }
        if (scheduleDue && timers.nowMicros() >= passDueMicros) {
            schedule();
        } else if (scheduleDue) {
            scheduleSoon();
        }
        return new BeatAnswer.Accepted(m.baton, ordersFor(m, true));
    }

    /** Takes a report in; false when it is older than one already known. */
    private boolean hear(Machine m, Beat beat, boolean isReport) {
        if (m.phase == Machine.Phase.GONE || !beat.newerThan(m.session, m.sequence) || beat.baton() > m.baton) {
            return false;
        }
        long now = timers.nowMicros();
        boolean current = beat.baton() == m.baton;
        if (isReport && m.session >= 0 && beat.session() > m.session) {
            // Its reports come, but do our answers get there? It must show that before it is given work again.
            rosters.raise(m, "its session moved on to " + beat.session());
        }
        m.session = beat.session();
        m.sequence = beat.sequence();
        if (isReport) {
            if (m.quiet(now, config.reportMicros())) {
                m.unconfirmedMicros = now; // it could neither show anything before nor be given work
                m.idleSinceMicros = now;
            }
            // Answers to direct calls don't count: without reports the worker's lease runs out all the same.
            m.heardMicros = now;
            m.probeFailed = false;
        }
        m.address = beat.address();
        m.fenced &= !isReport;
        long leaseOver = now + leaseMicros();
        m.leaseOverMicros = current ? leaseOver : Math.max(m.leaseOverMicros, leaseOver);
        m.housekeeping.clear();
        int uncleared = 0;
        Set<TaskId> listed = new HashSet<>();
        for (TaskReport r : beat.tasks()) {
            Placement p = m.placements.get(r.task());
            if (p != null && p.attempt == r.attempt()) {
                listed.add(r.task());
                p.seen = true;
                p.certain |= current;
                p.unansweredBaton = 0;
                update(m, p, r, now);
            } else if (meetStranger(m, r, current, now)) {
                listed.add(r.task());
            }
            if (r.state() == TaskState.EXITED) {
                if (mayForget(m, r)) {
                    m.housekeeping.add(Order.forget(r.task(), r.attempt()));
                } else {
                    uncleared++;
                }
            }
        }
        for (Placement p : List.copyOf(m.placements.values())) {
            if (!listed.contains(p.task) && provedAbsent(p, beat, current, isReport)) {
                if (!p.seen && p.sentInAnswer && p.session == beat.session()) {
                    rosters.raise(m, "an answer to it was lost");
                }
                free(p, "not in report " + beat.session() + "." + beat.sequence() + " under baton " + beat.baton());
            }
        }
        // What runs is not counted: a machine with more tasks than this would want a new baton with every report.
        if (uncleared > UNCLEARED_ATTEMPTS) {
            rosters.raiseSome(m);
        }
        if (current && m.phase == Machine.Phase.UNCONFIRMED) {
            m.transition(Machine.Phase.READY, "heard under baton " + m.baton);
            scheduleDue = true;
        }
        if (current) {
            settle(m);
        }
        if (beat.noticeMicros() >= 0 && m.phase == Machine.Phase.READY) {
            drain(m, "the cloud takes it in " + beat.noticeMicros() / 1_000_000 + " s");
            evacuate(m, beat.noticeMicros());
        }
        return true;
    }

    private boolean provedAbsent(Placement p, Beat beat, boolean current, boolean isReport) {
        if (p.session < beat.session()) {
            return true;
        }
        if (!current || p.phase == Placement.Phase.ASSIGNED) {
            return false;
        }
        if (p.unansweredBaton != 0 && p.unansweredBaton >= beat.baton()) {
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
                estimates.finished(job, now - p.runningSinceMicros);
            }
            recordProgress(job, Ledger.Urgency.NEWS, NEWS_MICROS);
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
    private boolean meetStranger(Machine m, TaskReport r, boolean current, long now) {
        TaskId id = r.task();
        ActiveJob job = jobs.get(id.job());
        boolean open = job != null && job.phase == ActiveJob.Phase.OPEN && id.index() < job.spec.tasks();
        if (r.state() == TaskState.EXITED) {
            if (open && r.cause() == Cause.DONE && !job.spec.service() && !job.done.contains(id.index())) {
                Placement other = job.placements.get(id.index());
                job.markDone(id.index());
                recordProgress(job, Ledger.Urgency.NEWS, NEWS_MICROS);
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
        m.housekeeping.add(Order.stop(id, r.attempt(), 0));
        ordersDue(m);
        scheduleDue = true;
        return false;
    }

    /**
     * Only a durable outcome is cleared away. An attempt that a direct order started stays listed until the baton has
     * been raised: a late copy of that order would start it once more.
     */
    private boolean mayForget(Machine m, TaskReport r) {
        long orderBaton = m.directAttempts.get(r.attempt());
        if (orderBaton >= m.baton) {
            return false;
        }
        m.directAttempts.remove(r.attempt());
        if (r.cause() != Cause.DONE || book.openJob(r.task().job()) == null) {
            return true;
        }
        return book.progressOf(r.task().job()).done().contains(r.task().index());
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

    // ---- orders ------------------------------------------------------------------------------------------------

    void stop(Placement p, long graceMicros, String why) {
        if (p.phase == Placement.Phase.ASSIGNED) {
            free(p, why);
        } else if (p.phase == Placement.Phase.STOPPING && graceMicros < p.graceMicros) {
            // Told to save before, and cancelled meanwhile: it need not, and must not go on.
            p.graceMicros = graceMicros;
            ordersDue(p.machine);
        } else if (p.live() && p.phase != Placement.Phase.STOPPING) {
            LOG.debug("stopping {} on {}: {}", p.task, p.machine.id, why);
            p.graceMicros = graceMicros;
            p.transition(Placement.Phase.STOPPING, why);
            ordersDue(p.machine);
        }
    }

    /** What is to end there, as of now. Every answer that renews a lease holds it: no task outlives its end by that. */
    private static List<Order> stopsFor(Machine m) {
        List<Order> orders = new ArrayList<>(m.housekeeping);
        for (Placement p : m.placements.values()) {
            if (p.phase == Placement.Phase.STOPPING) {
                orders.add(Order.stop(p.task, p.attempt, p.graceMicros));
            }
        }
        return orders;
    }

    /** All that this machine is to do. Stops are repeated until they are seen to work; starts go out once. */
    private List<Order> ordersFor(Machine m, boolean inAnswer) {
        List<Order> orders = stopsFor(m);
        ordersDue.remove(m);
        boolean starts = m.takesTasks() && leadership.mayStart();
        for (Placement p : m.placements.values()) {
            if (p.phase == Placement.Phase.ASSIGNED && starts) {
                orders.add(Order.start(p.task, p.attempt));
                p.sentInAnswer = inAnswer;
                if (!inAnswer) {
                    p.unansweredBaton = m.baton;
                    m.directAttempts.put(p.attempt, m.baton);
                }
                p.transition(Placement.Phase.SENT, inAnswer ? "in an answer" : "direct");
            }
        }
        return orders;
    }

    private void ordersDue(Machine m) {
        ordersDue.add(m);
        ordersSoon();
    }

    /** Orders to machines that are quiet would only time out; should one report after all, its answer holds them. */
    private void sendOrders() {
        if (!leadership.answersWorkers()) {
            return; // we may long have a successor that we don't know of
        }
        long now = timers.nowMicros();
        for (Machine m : List.copyOf(ordersDue)) {
            if (calls >= config.callsAtOnce()) {
                return;
            }
            if (!m.callUnderWay && m.session >= 0 && !m.quiet(now, config.reportMicros())) {
                // An answer tells only of the starts in its own call: one sent before, without an answer, may come yet.
                List<Placement> starts = m.placements.values().stream()
                        .filter(p -> p.phase == Placement.Phase.ASSIGNED)
                        .toList();
                List<Order> orders = ordersFor(m, false);
                starts = starts.stream()
                        .filter(p -> p.phase == Placement.Phase.SENT)
                        .toList();
                if (!orders.isEmpty()) {
                    callWorker(m, orders, starts, () -> {});
                }
            }
        }
    }

    private void callWorker(Machine m, List<Order> orders, List<Placement> starts, Runnable answered) {
        m.callUnderWay = true;
        m.fenced = false; // the worker may see the baton, and a deputy that knows it may go on under it
        m.probedMicros = timers.nowMicros();
        calls++;
        long baton = m.baton;
        // Of a machine taken over the session is not known; a wrong guess is answered with the right one.
        workers.send(m.address, baton, Math.max(1, m.session), orders, reply -> {
            calls--;
            m.callUnderWay = false;
            if (!ended && m.phase != Machine.Phase.GONE) {
                take(m, baton, starts, reply);
                ordersSoon();
            }
            answered.run();
        });
    }

    private void take(Machine m, long baton, List<Placement> starts, WorkerPort.Reply reply) {
        m.probeFailed = reply.report() == null && m.heardMicros < m.probedMicros;
        if (reply.report() == null) {
            if (!starts.isEmpty()) {
                rosters.raise(m, "a direct start has no answer");
            }
            return;
        }
        for (Placement p : starts) {
            if (p.unansweredBaton == baton) {
                p.unansweredBaton = 0;
            }
        }
        hear(m, reply.report(), false);
        if (!reply.executed()
                && m.phase == Machine.Phase.UNCONFIRMED
                && reply.report().baton() <= m.baton) {
            showBaton(m);
        }
    }

    // ---- jobs --------------------------------------------------------------------------------------------------

    private void open(JobRecord record) {
        if (record.term() > term.baton()) {
            // Claimed for a successor of ours that we have not heard of yet.
            return;
        }
        ActiveJob job = new ActiveJob(record, book.progressOf(record.spec().id()), timers.nowMicros());
        jobs.put(record.spec().id(), job);
        // What was claimed for us from the first can't have been started by a predecessor.
        if (inheritedLeft == 0 || record.term() == term.baton()) {
            job.settleDoubt();
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
                arrivals.accepted(job, timers.nowMicros());
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
    public void ended(String id, JobBook.Final how) {
        ActiveJob job = jobs.get(id);
        if (job == null) {
            return;
        }
        long age = ageMicros(job, timers.nowMicros());
        job.transition(ActiveJob.Phase.OVER, how.toString());
        if (how == JobBook.Final.DONE) {
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
        int block = ledger.behind() ? job.spec.tasks() : config.tuning().nextBlock(job.spec);
        int want = job.spec.gang() ? job.spec.tasks() : Math.min(job.spec.tasks(), job.fresh + block);
        if (want > job.claimWanted && (want == job.spec.tasks() || job.claimWanted - job.fresh <= block / 2)) {
            job.claimWanted = want;
            recordProgress(job, Ledger.Urgency.WORK, 0);
        }
    }

    private void recordProgress(ActiveJob job, Ledger.Urgency urgency, long delayMicros) {
        String key = Keys.PROGRESS + job.spec.id();
        ledger.want(
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
        ledger.want(
                key,
                Ledger.Urgency.SAFETY,
                0,
                () -> mirror.value(key) != null
                        ? List.of()
                        : List.of(Change.write(key, JobBook.finalRecord(JobBook.Final.DONE))),
                epoch -> {});
    }

    // ---- passes ------------------------------------------------------------------------------------------------

    /** Asks for a pass over the waiting jobs and for orders to go out, shortly and together. */
    void scheduleSoon() {
        scheduleDue = true;
        ordersSoon();
    }

    private void ordersSoon() {
        if (!passTimerSet) {
            passTimerSet = true;
            timers.after(Math.max(PASS_DELAY_MICROS, passDueMicros - timers.nowMicros()), () -> {
                passTimerSet = false;
                if (!ended) {
                    if (scheduleDue) {
                        schedule();
                    }
                    sendOrders();
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
        Placement p = new Placement(id, job, m, term.baton() * ATTEMPTS_PER_TERM + attempts, m.session, now);
        place(p);
        ordersDue(m);
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
        return m.takesTasks() && suits(m, job, now) && faults.mayTry(m, job) && !m.quiet(now, config.reportMicros());
    }

    /**
     * Work that can wait leaves full-price machines alone that no service needs, so that they can be returned, unless
     * it is over before a return could save anything.
     */
    boolean suits(Machine m, ActiveJob job, long now) {
        return m.allowedFor(job.spec)
                && job.zoneAllows(m.zone)
                && (!job.patient
                        || m.spot
                        || m.hostsService()
                        || m.kept
                        || now + estimates.taskMicros(job) < m.rentedMicros + Autoscaler.LEAST_CHARGE_MICROS);
    }

    /**
     * While tasks are in doubt, or tasks of jobs that are over are still to be stopped, what a team uses is not known.
     */
    boolean teamAllows(JobSpec spec) {
        return teamLimits.allows(spec) && (!teamLimits.limits(spec) || (inheritedLeft == 0 && strangersGone()));
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

    private boolean strangersGone() {
        return machines.values().stream()
                .noneMatch(m -> m.housekeeping.stream().anyMatch(o -> o.verb() == Order.Verb.STOP));
    }

    /** Time since the job was accepted, as far as the clocks agree. */
    long ageMicros(ActiveJob job, long now) {
        return Math.max(now - job.sinceMicros, timers.timeOfDayMicros() - job.acceptedMicros - config.skewMicros());
    }

    Estimates estimates() {
        return estimates;
    }

    FaultTracker faults() {
        return faults;
    }

    Arrivals arrivals() {
        return arrivals;
    }

    Outlook outlook() {
        return outlook;
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
            // A lease that ran out proves something only if we were the owner all along: a successor that we don't
            // know of may be answering this worker. So the state service must have confirmed us after the end.
            if (m.leaseOverMicros > 0 && leadership.confirmedMicros() > m.leaseOverMicros) {
                if (m.fenced || !config.peerIn(m.zone)) {
                    lapse(m);
                } else {
                    rosters.raise(m, "its lease is over, unless a controller that is cut off keeps it alive");
                }
            }
            probe(m, now);
            boolean quiet = m.quiet(now, config.reportMicros());
            if (m.phase == Machine.Phase.UNCONFIRMED
                    && !m.inherited
                    && m.rostered
                    && !m.wantsNewBaton
                    && !quiet
                    && calls < config.callsAtOnce()) {
                showBaton(m);
            }
            for (Placement p : quiet ? List.copyOf(m.placements.values()) : m.placements.values()) {
                if (quiet && p.phase == Placement.Phase.ASSIGNED) {
                    free(p, "never sent: the machine has fallen silent");
                } else if (p.phase == Placement.Phase.STOPPING) {
                    ordersDue(m);
                }
            }
        }
        if (inheritedLeft == 0 && leadership.certain()) {
            consolidator.tick(now);
        }
        scheduleSoon();
    }
}
