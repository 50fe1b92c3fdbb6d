package org.granitepath.coordination.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what is known of a machine in line with what its worker reports. A task is taken for gone only when a
 * heartbeat proves it; what is reported and was not placed by this leader is adopted or stopped.
 */
public final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);
    /** With more exited attempts than this that may not be cleared yet, a machine gets a new token for their sake. */
    private static final int MOST_UNCLEARED_ATTEMPTS = 24;

    private static final long REFUSED_START_DELAY_MICROS = 1_000_000;

    private final Config config;
    private final JobIndex jobIndex;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final MachineLifecycle machines;
    private final ActiveJobs activeJobs;
    private final JobLifecycle jobs;
    private final TaskLifecycle tasks;
    private final TermRecovery recovery;
    private final RecoveryPlan plan;
    private final TaskEvidence evidence;
    private final FaultTracker faults;
    private final RuntimeEstimator runtimeEstimator;
    private final CommandQueue commands;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Compares what workers report with the state of this term. */
    public HeartbeatReconciler(
            Config config,
            JobIndex jobIndex,
            Fleet fleet,
            MachineInventory inventory,
            MachineLifecycle machines,
            ActiveJobs activeJobs,
            JobLifecycle jobs,
            TaskLifecycle tasks,
            TermRecovery recovery,
            FaultTracker faults,
            RuntimeEstimator runtimeEstimator,
            CommandQueue commands,
            Timers timers,
            SchedulingLoop loop) {
        this.config = config;
        this.jobIndex = jobIndex;
        this.fleet = fleet;
        this.inventory = inventory;
        this.machines = machines;
        this.activeJobs = activeJobs;
        this.jobs = jobs;
        this.tasks = tasks;
        this.recovery = recovery;
        this.plan = recovery.plan();
        this.evidence = new TaskEvidence(jobIndex, activeJobs, plan);
        this.faults = faults;
        this.runtimeEstimator = runtimeEstimator;
        this.commands = commands;
        this.timers = timers;
        this.loop = loop;
    }

    /**
     * Takes a heartbeat in; false when it is older than one already known.
     *
     * @param isHeartbeat whether the worker sent it by itself; otherwise it came in the answer to a direct call
     */
    public boolean reconcile(Machine machine, Heartbeat heartbeat, boolean isHeartbeat) {
        if (machine.isGone()
                || !heartbeat.newerThan(
                        machine.contact().agentEpoch(), machine.contact().sequence())
                || heartbeat.fencingToken() > machine.fencingToken()) {
            return false;
        }
        long now = timers.nowMicros();
        boolean current = heartbeat.fencingToken() == machine.fencingToken();
        if (isHeartbeat
                && machine.contact().agentEpoch() >= 0
                && heartbeat.agentEpoch() > machine.contact().agentEpoch()) {
            // Its reports come, but do our answers get there? It must show that before it is given work again.
            inventory.requestToken(machine, "its session moved on to " + heartbeat.agentEpoch());
        }
        noteContact(machine, heartbeat, isHeartbeat, current, now);
        Set<TaskId> listed = reconcileListed(machine, heartbeat, current, now);
        freeAbsent(machine, heartbeat, listed, current, isHeartbeat);
        // What runs is not counted: a machine with more tasks than this would want a new token with every heartbeat.
        if (unclearedAttempts(machine, heartbeat) > MOST_UNCLEARED_ATTEMPTS) {
            inventory.requestTokenForCleanup(machine);
        }
        if (current && machine.phase() == Machine.Phase.UNCONFIRMED) {
            machine.tasksConfirmed();
            loop.wantCycle();
        }
        if (current) {
            recovery.resolved(machine, "heard under fencing token " + machine.fencingToken());
        }
        if (heartbeat.noticeMicros() >= 0 && machine.phase() == Machine.Phase.READY) {
            machines.drain(machine, "the cloud takes it in " + heartbeat.noticeMicros() / 1_000_000 + " s");
            tasks.evacuate(machine, heartbeat.noticeMicros());
        }
        return true;
    }

    private void noteContact(Machine machine, Heartbeat heartbeat, boolean isHeartbeat, boolean current, long now) {
        machine.contact().messageReceived(heartbeat);
        if (isHeartbeat) {
            machine.heartbeatReceived(fleet.unresponsive(machine, now), now);
        }
        machine.contact().leaseRunsUntil(now + config.workers().longestLeaseMicros(), current);
    }

    private Set<TaskId> reconcileListed(Machine machine, Heartbeat heartbeat, boolean current, long now) {
        Set<WorkerCommand> repeated = Set.copyOf(machine.cleanupCommands());
        machine.clearFindings();
        Set<TaskId> listed = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            Verdict verdict = evidence.ofReported(machine, status);
            switch (verdict) {
                case CONFIRMED -> confirmed(machine, status, current, now);
                case ADOPTED -> adopted(machine, status, current, now);
                case FINISHED_MEANWHILE -> finishedMeanwhile(status.task());
                case STALE, UNKNOWN_JOB -> stopOrphan(machine, status, verdict, repeated);
                case UNCONFIRMED -> machine.taskUnconfirmed();
                case EXITED, LOST -> {}
            }
            if (verdict == Verdict.CONFIRMED || verdict == Verdict.ADOPTED) {
                listed.add(status.task());
            }
            if (status.state() == TaskState.EXITED && verdict != Verdict.UNCONFIRMED && mayClear(machine, status)) {
                machine.addCleanup(WorkerCommand.clear(status.task(), status.attempt()));
            }
        }
        return listed;
    }

    private void confirmed(Machine machine, TaskStatus status, boolean current, long now) {
        Placement placement = machine.placement(status.task());
        if (!placement.seen()) {
            plan.countVerdicts(Verdict.CONFIRMED, 1);
        }
        placement.listed(current);
        update(machine, placement, status, now);
    }

    private void adopted(Machine machine, TaskStatus status, boolean current, long now) {
        ActiveJob job = activeJobs.get(status.task().job());
        Placement placement = tasks.adopt(job, machine, status, current, now);
        plan.countVerdicts(Verdict.ADOPTED, 1);
        update(machine, placement, status, now);
    }

    private void stopOrphan(Machine machine, TaskStatus status, Verdict verdict, Set<WorkerCommand> repeated) {
        WorkerCommand stop = WorkerCommand.stop(status.task(), status.attempt(), 0);
        machine.addCleanup(stop);
        commands.due(machine);
        loop.wantCycle();
        if (!repeated.contains(stop)) {
            plan.countVerdicts(verdict, 1);
            LOG.info("stopping {} attempt {} on {}: {}", status.task(), status.attempt(), machine.id(), verdict);
        }
    }

    /** Exited attempts that the heartbeat lists and that may not be cleared yet. */
    private static int unclearedAttempts(Machine machine, Heartbeat heartbeat) {
        int uncleared = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            uncleared += status.state() == TaskState.EXITED ? 1 : 0;
        }
        for (WorkerCommand command : machine.cleanupCommands()) {
            uncleared -= command.verb() == WorkerCommand.Verb.CLEAR ? 1 : 0;
        }
        return uncleared;
    }

    private void freeAbsent(
            Machine machine, Heartbeat heartbeat, Set<TaskId> listed, boolean current, boolean isHeartbeat) {
        for (Placement placement : List.copyOf(machine.placements())) {
            if (listed.contains(placement.task())
                    || evidence.ofMissing(placement, heartbeat, current, isHeartbeat) != Verdict.LOST) {
                continue;
            }
            if (!placement.seen() && placement.wentOutInAnswer() && placement.agentEpoch() == heartbeat.agentEpoch()) {
                inventory.requestToken(machine, "an answer to it was lost");
            }
            plan.countVerdicts(Verdict.LOST, 1);
            tasks.free(
                    placement,
                    "not in report " + heartbeat.agentEpoch() + "." + heartbeat.sequence() + " under fencing token "
                            + heartbeat.fencingToken());
        }
    }

    private void update(Machine machine, Placement placement, TaskStatus status, long now) {
        switch (status.state()) {
            case FETCHING -> placement.fetching();
            case WAITING -> waiting(machine, placement, now);
            case RUNNING -> running(machine, placement, now);
            case SAVING -> saving(placement);
            case EXITED -> exited(machine, placement, status, now);
        }
    }

    private void waiting(Machine machine, Placement placement, long now) {
        machine.capacity().imageSeen(placement.job().spec().image());
        placement.waiting();
        if (isOfPresentAttempt(placement)) {
            placement.job().gangAttempt().waiting(now);
        }
    }

    private static boolean isOfPresentAttempt(Placement placement) {
        GangAttempt attempt = placement.job().gangAttempt();
        return attempt != null && attempt.number() == placement.attempt();
    }

    /** A gang saves its progress only when all its tasks are told to: a former leader may not have come to that. */
    private void saving(Placement placement) {
        placement.saving();
        if (isOfPresentAttempt(placement) && placement.job().gangAttempt().phase() == GangAttempt.Phase.RUNNING) {
            tasks.stop(placement, placement.job().spec().saveMicros(), "a task of its gang saves");
        }
    }

    private void running(Machine machine, Placement placement, long now) {
        if (isOfPresentAttempt(placement)) {
            placement.job().gangAttempt().running();
        }
        if (!placement.hasRun()) {
            machine.capacity().imageSeen(placement.job().spec().image());
        }
        placement.running(now);
        if (placement.ranMicros(now) >= FaultTracker.PROOF_MICROS && faults.wantsProof(placement)) {
            machines.drainFaulty(faults.proved(placement, now));
        }
    }

    private void exited(Machine machine, Placement placement, TaskStatus status, long now) {
        ActiveJob job = placement.job();
        if (status.cause() == Cause.DONE && !job.spec().service()) {
            markDone(job, status.task().index());
            machines.drainFaulty(faults.proved(placement, now));
            if (placement.hasRun() && placement.onlyHere() && !placement.wasAdopted()) {
                runtimeEstimator.finished(job, placement.ranMicros(now));
            }
            jobs.recordTaskDone(job);
        } else if (status.cause() == Cause.FAILED) {
            LOG.info("a task of {} failed on {}", job.spec().id(), machine.id());
            machines.drainFaulty(faults.failed(machine, job, now));
        } else if (status.cause() == Cause.UNKNOWN_JOB || status.cause() == Cause.INSUFFICIENT_CAPACITY) {
            job.scheduling().startNothingBefore(now + REFUSED_START_DELAY_MICROS);
        }
        boolean attemptIsOver = status.cause() == Cause.PEER_GONE || status.cause() == Cause.INCOMPLETE;
        if (attemptIsOver && isOfPresentAttempt(placement) && !job.gangAttempt().isEnding()) {
            tasks.stop(placement, 0, "a task of its gang exited: " + status.cause());
        }
        tasks.free(placement, "exited: " + status.cause());
        jobs.endIfDone(job);
        loop.wantCycle();
    }

    /** The tasks of a gang complete together: one tells of all. */
    private static void markDone(ActiveJob job, int task) {
        if (!job.spec().gang()) {
            job.markDone(task);
            return;
        }
        job.markAllDone();
        if (job.gangAttempt() != null) {
            job.gangAttempt().completed();
        }
    }

    /** An attempt that we did not start has completed the task: any other attempt is of no use. */
    private void finishedMeanwhile(TaskId task) {
        ActiveJob job = activeJobs.get(task.job());
        plan.countVerdicts(Verdict.FINISHED_MEANWHILE, 1);
        Placement other = job.placement(task.index());
        markDone(job, task.index());
        jobs.recordTaskDone(job);
        if (other != null && !job.spec().gang()) {
            tasks.stop(other, 0, "done elsewhere");
        } else {
            jobs.endIfDone(job);
        }
    }

    /**
     * Only a durable outcome is cleared away. An attempt that a direct command started stays listed until the token has
     * been raised: a late copy of that command would start it once more.
     */
    private boolean mayClear(Machine machine, TaskStatus status) {
        if (machine.contact().mayBeStartedAgain(status.attempt(), machine.fencingToken())) {
            return false;
        }
        machine.contact().forgetDirectStart(status.attempt());
        if (status.cause() != Cause.DONE || jobIndex.openJob(status.task().job()) == null) {
            return true;
        }
        return jobIndex.progressOf(status.task().job())
                .done()
                .contains(status.task().index());
    }
}
