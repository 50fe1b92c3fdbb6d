package org.granitepath.coordination.jobs;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.MemoryStore;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/** The life cycle of jobs and tasks in one leadership term, with an in-memory store and a manually advanced clock. */
final class JobsFixture {
    static final long SECOND = 1_000_000;
    /** The fencing token of the term. */
    static final long TOKEN = 3;

    static final JobSpec BATCH = Fixtures.spec(JobSpec.Shape.BATCH, false, false);
    static final JobSpec GANG = Fixtures.spec(JobSpec.Shape.GANG, false, false);
    /** A service whose users wait for its start. */
    static final JobSpec LIVE_SERVICE = Fixtures.spec(JobSpec.Shape.SERVICE, false, false, Priority.HIGH);

    final ManualTimers timers = new ManualTimers();
    final MemoryStore store = new MemoryStore(timers);
    final JobIndex jobIndex = new JobIndex();
    final RecordReplica replica = newReplica(store, jobIndex, timers);
    final ActiveJobs jobs = new ActiveJobs(0, timers, job -> {});
    final TeamLimits teamLimits = new TeamLimits(Map.of());
    final SchedulingLoop loop = new SchedulingLoop(timers, () -> false, () -> true, () -> {}, () -> {});
    final MachinesWithCommands machinesWithCommands = new MachinesWithCommands(() -> {});
    final TermRecovery recovery = new TermRecovery(new RecoveryPlan(TOKEN, 0, RecoveryTracer.NONE), jobs, timers, loop);
    final TaskLifecycle tasks = tasksForTerm(TOKEN);
    final ArrivalRate arrivalRate = new ArrivalRate();
    final JobLifecycle lifecycle =
            new JobLifecycle(jobIndex, newRecorder(), recovery, jobs, tasks, arrivalRate, timers, loop);

    private static RecordReplica newReplica(MemoryStore store, JobIndex jobIndex, Timers timers) {
        return new RecordReplica(store, timers, SECOND / 10, new RecordReplica.Listener() {
            @Override
            public void onRecordChanged(String key, StoredRecord record, long revision) {
                jobIndex.applyRecord(key, record);
            }

            @Override
            public void onLoaded() {}
        });
    }

    private JobRecorder newRecorder() {
        Config config = TestConfigs.of("c1", "c1-1");
        WriteQueue writeQueue = new WriteQueue(store, replica, timers, 20, 50, RateControl.FIXED, List::of, () -> true);
        return new JobRecorder(config, new Leadership.Term(TOKEN, 1), replica, writeQueue, loop);
    }

    /** Returns a life cycle of tasks in the term with the given fencing token. */
    TaskLifecycle tasksForTerm(long fencingToken) {
        return new TaskLifecycle(
                new Leadership.Term(fencingToken, 1), recovery, jobs, teamLimits, timers, loop, machinesWithCommands);
    }

    /** Takes over a machine from a previous leader that has not sent a heartbeat yet, so it may hold any task. */
    void addAwaitedMachine() {
        recovery.start(List.of(machine("awaited")), 0, 1);
    }

    Machine machine(String id) {
        return Fixtures.machine(id, "north");
    }

    /** Returns an open job whose ten tasks are all claimed for this term and free to start. */
    ActiveJob openJob(JobSpec spec) {
        ActiveJob job =
                new ActiveJob(new JobRecord(spec, 0, spec.tasks(), TOKEN), ProgressRecord.empty(), timers.nowMicros());
        job.resolveUnconfirmed();
        jobs.add(job);
        return job;
    }

    /** Starts the job's next task on the machine and marks its start as sent. */
    Placement startAndSend(ActiveJob job, Machine machine) {
        Placement placement = tasks.start(job, machine, timers.nowMicros());
        placement.markSentDirectly();
        return placement;
    }

    /**
     * Adopts a running task that a heartbeat lists and a previous leader started.
     *
     * @param onlyOnThisMachine false for an old heartbeat: the task may be on another machine by now
     */
    Placement adopt(ActiveJob job, int index, Machine machine, long attempt, boolean onlyOnThisMachine) {
        Heartbeat.TaskStatus status = new Heartbeat.TaskStatus(
                new TaskId(job.spec().id(), index),
                attempt,
                Heartbeat.TaskState.RUNNING,
                Heartbeat.ExitCause.NONE,
                false);
        return tasks.adopt(job, machine, status, onlyOnThisMachine, timers.nowMicros());
    }
}
