package org.granitepath.simulation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
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
    /** What the cloud has said of the machine. */
    record Facts(String id, MachineType type, String zone, boolean spot) {}

    /** How often it reports, and how long its tasks outlive the last answer. */
    record Timing(long heartbeatIntervalMicros, long leaseMicros) {}

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
            Facts facts,
            Timing timing) {
        this.world = world;
        this.rules = rules;
        this.controllers = controllers;
        this.jobs = jobs;
        this.results = results;
        this.gangs = gangs;
        this.runs = new SimRuns(facts.type, jobs);
        this.id = facts.id;
        this.type = facts.type;
        this.zone = facts.zone;
        this.spot = facts.spot;
        this.heartbeatIntervalMicros = timing.heartbeatIntervalMicros;
        this.leaseMicros = timing.leaseMicros;
        this.leaseFrom = world.now();
        this.at = world.random.nextInt(controllers.names().size());
        tick();
    }

    /** Its reports are lost on the way; it is reached all the same. */
    void mute(boolean now) {
        muted = now;
    }

    /** What it reported last; null before the first report. */
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

    /** It is gone for good, with all that runs on it. */
    void die() {
        if (!dead) {
            dead = true;
            killAll();
            world.setDown(id, true);
        }
    }

    /** While it hangs it does nothing, but its clock runs on. */
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

    /** The cloud takes it back after this time, and it tells so. */
    void notice(long micros) {
        noticeEnd = world.now() + micros;
        changed = true;
    }

    /** All tasks here that fit are over, each for this reason. */
    void endTasks(Predicate<JobSpec> which, Cause cause) {
        runs.live().stream()
                .filter(run -> which.test(jobs.apply(run.task.job())))
                .forEach(run -> end(run, cause));
    }

    private void killAll() {
        for (Run run : runs.all()) {
            leave(run);
        }
        runs.clear();
    }

    /** A task that is on the machine is so no longer. */
    private void leave(Run run) {
        if (run.state == TaskState.WAITING || run.state == TaskState.RUNNING || run.state == TaskState.SAVING) {
            rules.left(run.task, id);
        }
        if (run.member != null) {
            run.member.leave();
            run.member = null;
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
        for (Run run : runs.all()) {
            if (run.member != null) {
                advanceInGang(run);
            } else if (run.state != TaskState.EXITED && world.now() >= run.until) {
                advance(run);
            }
        }
        if (!reporting
                && (world.now() >= nextHeartbeat
                        || (changed && world.now() >= nextHeartbeat - heartbeatIntervalMicros / 2))) {
            report();
        }
    }

    private boolean fails(Run run) {
        return faulty || controllers.fails(run.task.job());
    }

    private void advance(Run run) {
        changed = true;
        JobSpec spec = jobs.apply(run.task.job());
        if (run.state == TaskState.FETCHING) {
            images.add(spec.image());
            rules.started(run.task, id, type.name(), zone, spot);
            if (spec.gang() && !results.contains(run.task) && !fails(run)) {
                run.state = TaskState.WAITING;
                run.until = Long.MAX_VALUE;
                run.member = gangs.join(spec, run.task, run.attempt, this::hangs);
                return;
            }
            run.state = TaskState.RUNNING;
            long runMicros = results.contains(run.task)
                    ? 0
                    : spec.estimateMicros() / 2 + (long) (world.random.nextDouble() * spec.estimateMicros());
            run.until = spec.service() ? Long.MAX_VALUE : world.now() + runMicros;
            if (fails(run)) {
                failures++;
                run.until = world.now() + 200_000;
            }
        } else {
            boolean saving = run.state == TaskState.SAVING;
            end(run, saving ? Cause.STOPPED : fails(run) ? Cause.FAILED : Cause.DONE);
            run.saved = saving;
        }
    }

    private void advanceInGang(Run run) {
        Cause cause = run.member.exit();
        if (cause != null) {
            run.saved = run.member.kept();
            end(run, cause);
            return;
        }
        TaskState state =
                run.member.saves() ? TaskState.SAVING : run.member.running() ? TaskState.RUNNING : TaskState.WAITING;
        changed |= state != run.state;
        run.state = state;
    }

    private void end(Run run, Cause cause) {
        leave(run);
        if (cause == Cause.DONE) {
            results.add(run.task);
            rules.completed(run.task);
        }
        run.state = TaskState.EXITED;
        run.cause = cause;
        changed = true;
    }

    private Heartbeat heartbeat() {
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
                runs.statuses());
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
            if (answer instanceof HeartbeatResponse.Accepted accepted) {
                if (ofAgentEpoch == agentEpoch && accepted.fencingToken() >= fencingToken) {
                    changed |= accepted.fencingToken() > fencingToken;
                    fencingToken = accepted.fencingToken();
                    leaseFrom = Math.max(leaseFrom, sent);
                    execute(accepted.commands());
                }
            } else {
                String to = answer instanceof HeartbeatResponse.Redirect redirect ? redirect.node() : null;
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
        for (WorkerCommand command : commands) {
            // Through the wire's words and back, as between real processes.
            assert WorkerCodec.encodeCommands(fencingToken, agentEpoch, List.of(command)) != null;
            Run run = runs.get(command.task(), command.attempt());
            switch (command.verb()) {
                case START -> {
                    if (run == null) {
                        start(command);
                    }
                }
                case STOP -> {
                    if (run != null && run.state != TaskState.EXITED) {
                        stop(run, command.graceMicros());
                    }
                }
                case CLEAR -> {
                    if (run != null && run.state == TaskState.EXITED) {
                        runs.remove(run);
                    }
                }
            }
        }
    }

    private void start(WorkerCommand command) {
        changed = true;
        Run run = new Run(command.task(), command.attempt());
        JobSpec spec = jobs.apply(command.task().job());
        runs.add(run);
        Cause refusal = runs.refusal(spec, run);
        if (refusal != Cause.NONE) {
            run.state = TaskState.EXITED;
            run.cause = refusal;
            return;
        }
        run.until = world.now()
                + (images.contains(spec.image()) ? 0 : (long) (spec.imageGb() / type.fetchGbPerSecond() * 1e6));
    }

    private void stop(Run run, long grace) {
        JobSpec spec = jobs.apply(run.task.job());
        boolean savesInGang = run.member != null && run.member.running() && spec.checkpointMicros() > 0;
        if (savesInGang && grace > 0 && grace >= spec.saveMicros()) {
            run.member.halt();
            changed = true;
            return;
        }
        if (run.state == TaskState.RUNNING && spec.checkpointMicros() > 0 && grace >= spec.saveMicros()) {
            run.state = TaskState.SAVING;
            run.until = world.now() + spec.saveMicros();
            changed = true;
        } else if (run.state != TaskState.SAVING || grace == 0) {
            end(run, Cause.STOPPED);
        }
    }
}
