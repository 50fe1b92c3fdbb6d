package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.WorkerCodec;
import org.granitepath.simulation.SimRuns.Run;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** A stand-in for a machine's worker, as the protocol describes it. */
final class SimWorker {
    /** A worker looks at its tasks this many times between two heartbeats. */
    private static final int TICKS = 10;

    private static final long PATIENCE = 4_000_000;

    private final World world;
    private final Rules rules;
    private final SimControllers controllers;
    private final Function<String, JobSpec> jobs;
    private final Set<TaskId> results;
    private final SimGangs gangs;
    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    private final long heartbeatIntervalMicros;
    private final long leaseMicros;
    private final SimRuns runs;
    private final Set<String> images = new HashSet<>();
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private long leaseFrom;
    private long nextHeartbeat;
    private int at;
    private boolean reporting;
    private boolean changed;
    private boolean dead;
    private boolean hanging;
    private boolean muted;
    private Heartbeat latest;
    /** A machine on which every task fails. */
    boolean faulty;
    /** How many tasks have failed here. */
    int failures;

    private long noticeEnd = -1;

    SimWorker(
            World world,
            Rules rules,
            SimControllers controllers,
            Function<String, JobSpec> jobs,
            Set<TaskId> results,
            SimGangs gangs,
            String id,
            MachineType type,
            String zone,
            boolean spot,
            long heartbeatIntervalMicros,
            long leaseMicros) {
        this.world = world;
        this.rules = rules;
        this.controllers = controllers;
        this.jobs = jobs;
        this.results = results;
        this.gangs = gangs;
        this.runs = new SimRuns(type, jobs);
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.heartbeatIntervalMicros = heartbeatIntervalMicros;
        this.leaseMicros = leaseMicros;
        this.leaseFrom = world.now();
        this.at = world.random.nextInt(controllers.names().size());
        tick();
    }

    /** Its reports are lost on the way; it is reached all the same. */
    void mute(boolean now) {
        muted = now;
    }

    Heartbeat latest() {
        return latest;
    }

    /** What is on the machine, exited attempts included. */
    SimRuns runs() {
        return runs;
    }

    /** How many such tasks fit here now, and could start. */
    int slots(JobSpec spec) {
        return wouldTake(spec) ? runs.slots(spec) : 0;
    }

    /** Whether one more such task fits here now, and could start. */
    boolean wouldTake(JobSpec spec) {
        return !dead
                && !hanging
                && !faulty
                && noticeEnd < 0
                && runs.hasCapacityFor(spec, null)
                && spec.allowsType(type.name())
                && spec.allowsZone(zone)
                && (spec.spot() || !spot);
    }

    boolean alive() {
        return !dead;
    }

    void die() {
        if (!dead) {
            dead = true;
            killAll();
            world.setDown(id, true);
        }
    }

    void hang(boolean now) {
        hanging = now;
        if (!now && !dead) {
            expireIfDue();
        }
    }

    void hangFor(long micros) {
        hang(true);
        world.after(micros, () -> hang(false));
    }

    void notice(long micros) {
        noticeEnd = world.now() + micros;
        changed = true;
    }

    /** All tasks here that fit are over, each for this reason. */
    void endTasks(Predicate<JobSpec> which, Cause cause) {
        for (Run run : List.copyOf(runs.all())) {
            if (run.state != TaskState.EXITED && which.test(jobs.apply(run.task.job()))) {
                end(run, cause);
            }
        }
    }

    private void killAll() {
        for (Run r : runs.all()) {
            leave(r);
        }
        runs.clear();
    }

    /** A task that is on the machine is so no longer. */
    private void leave(Run r) {
        if (r.state == TaskState.WAITING || r.state == TaskState.RUNNING || r.state == TaskState.SAVING) {
            rules.left(r.task, id);
        }
        if (r.member != null) {
            r.member.leave();
            r.member = null;
        }
    }

    private void expireIfDue() {
        if (world.now() - leaseFrom > leaseMicros) {
            killAll();
            agentEpoch++;
            leaseFrom = world.now();
            changed = true;
        }
    }

    private void tick() {
        if (dead) {
            return;
        }
        world.after(heartbeatIntervalMicros / TICKS, this::tick);
        // A hanging machine executes nothing, and its first act on going on is to see that its lease is over.
        expireIfDue();
        if (hanging) {
            return;
        }
        for (Run r : runs.all()) {
            if (r.member != null) {
                advanceInGang(r);
            } else if (r.state != TaskState.EXITED && world.now() >= r.until) {
                advance(r);
            }
        }
        if (!reporting
                && (world.now() >= nextHeartbeat
                        || (changed && world.now() >= nextHeartbeat - heartbeatIntervalMicros / 2))) {
            report();
        }
    }

    private boolean fails(Run r) {
        return faulty || controllers.fails(r.task.job());
    }

    private void advance(Run r) {
        changed = true;
        JobSpec spec = jobs.apply(r.task.job());
        if (r.state == TaskState.FETCHING) {
            images.add(spec.image());
            rules.started(r.task, id, type.name(), zone, spot);
            if (spec.gang() && !results.contains(r.task) && !fails(r)) {
                r.state = TaskState.WAITING;
                r.until = Long.MAX_VALUE;
                r.member = gangs.join(spec, r.task, r.attempt, this::hangs);
                return;
            }
            r.state = TaskState.RUNNING;
            long run = results.contains(r.task)
                    ? 0
                    : spec.estimateMicros() / 2 + (long) (world.random.nextDouble() * spec.estimateMicros());
            r.until = spec.service() ? Long.MAX_VALUE : world.now() + run;
            if (fails(r)) {
                failures++;
                r.until = world.now() + 200_000;
            }
        } else {
            boolean saving = r.state == TaskState.SAVING;
            end(r, saving ? Cause.STOPPED : fails(r) ? Cause.FAILED : Cause.DONE);
            r.saved = saving;
        }
    }

    private void advanceInGang(Run r) {
        Cause cause = r.member.exit();
        if (cause != null) {
            r.saved = r.member.kept();
            end(r, cause);
            return;
        }
        TaskState state =
                r.member.saves() ? TaskState.SAVING : r.member.running() ? TaskState.RUNNING : TaskState.WAITING;
        changed |= state != r.state;
        r.state = state;
    }

    private void end(Run r, Cause cause) {
        leave(r);
        if (cause == Cause.DONE) {
            results.add(r.task);
            rules.completed(r.task);
        }
        r.state = TaskState.EXITED;
        r.cause = cause;
        changed = true;
    }

    private Heartbeat heartbeat() {
        List<TaskStatus> list = new ArrayList<>();
        for (Run r : runs.all()) {
            list.add(new TaskStatus(r.task, r.attempt, r.state, r.cause, r.saved));
        }
        return new Heartbeat(
                id,
                id,
                type.name(),
                zone,
                spot,
                agentEpoch,
                ++sequence,
                fencingToken,
                noticeEnd < 0 ? -1 : Math.max(0, noticeEnd - world.now()),
                list);
    }

    private void report() {
        reporting = true;
        changed = false;
        long sent = world.now();
        long ofAgentEpoch = agentEpoch;
        String node = controllers.names().get(at);
        Heartbeat heartbeat = heartbeat();
        nextHeartbeat =
                sent + heartbeatIntervalMicros * 3 / 4 + world.random.nextInt((int) (heartbeatIntervalMicros / 2));
        latest = heartbeat;
        String way = muted ? "nowhere" : node;
        world.call(id, way, PATIENCE, () -> muted ? null : controllers.heartbeat(node, heartbeat), answer -> {
            reporting = false;
            if (dead) {
                return;
            }
            // A hanging machine reads its answers when it goes on, and drops those that are too old.
            if (hanging) {
                answer = null;
            }
            if (answer instanceof HeartbeatResponse.Accepted a) {
                if (ofAgentEpoch == agentEpoch && a.fencingToken() >= fencingToken) {
                    changed |= a.fencingToken() > fencingToken;
                    fencingToken = a.fencingToken();
                    leaseFrom = Math.max(leaseFrom, sent);
                    execute(a.commands());
                }
            } else {
                String to = answer instanceof HeartbeatResponse.Redirect e ? e.node() : null;
                int named = to == null ? -1 : controllers.names().indexOf(to);
                if (named >= 0 && named != at) {
                    at = named;
                    nextHeartbeat = world.now() + world.random.nextInt(500_000);
                } else {
                    at = (at + 1) % controllers.names().size();
                    nextHeartbeat = world.now() + 1_000_000;
                }
            }
        });
    }

    /** A direct command. Null: hanging, no answer. */
    WorkerPort.Reply commands(long withToken, long withAgentEpoch, List<WorkerCommand> commands) {
        expireIfDue();
        boolean ok = withToken >= fencingToken && withAgentEpoch == agentEpoch;
        if (ok) {
            changed |= withToken > fencingToken;
            fencingToken = withToken;
            execute(commands);
        }
        return new WorkerPort.Reply(ok, heartbeat());
    }

    boolean hangs() {
        return hanging;
    }

    private void execute(List<WorkerCommand> commands) {
        for (WorkerCommand o : commands) {
            // Through the wire's words and back, as between real processes.
            assert WorkerCodec.encodeCommands(fencingToken, agentEpoch, List.of(o)) != null;
            Run r = runs.get(o.task(), o.attempt());
            switch (o.verb()) {
                case START -> {
                    if (r == null) {
                        start(o);
                    }
                }
                case STOP -> {
                    if (r != null && r.state != TaskState.EXITED) {
                        stop(r, o.graceMicros());
                    }
                }
                case CLEAR -> {
                    if (r != null && r.state == TaskState.EXITED) {
                        runs.remove(r);
                    }
                }
            }
        }
    }

    private void start(WorkerCommand o) {
        changed = true;
        Run r = new Run(o.task(), o.attempt());
        JobSpec spec = jobs.apply(o.task().job());
        runs.add(r);
        Cause refusal = runs.refusal(spec, r);
        if (refusal != Cause.NONE) {
            r.state = TaskState.EXITED;
            r.cause = refusal;
            return;
        }
        r.until = world.now()
                + (images.contains(spec.image()) ? 0 : (long) (spec.imageGb() / type.fetchGbPerSecond() * 1e6));
    }

    private void stop(Run r, long grace) {
        JobSpec spec = jobs.apply(r.task.job());
        boolean savesInGang = r.member != null && r.member.running() && spec.checkpointMicros() > 0;
        if (savesInGang && grace > 0 && grace >= spec.saveMicros()) {
            r.member.halt();
            changed = true;
            return;
        }
        if (r.state == TaskState.RUNNING && spec.checkpointMicros() > 0 && grace >= spec.saveMicros()) {
            r.state = TaskState.SAVING;
            r.until = world.now() + spec.saveMicros();
            changed = true;
        } else if (r.state != TaskState.SAVING || grace == 0) {
            end(r, Cause.STOPPED);
        }
    }
}
