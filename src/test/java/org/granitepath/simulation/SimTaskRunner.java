package org.granitepath.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.simulation.SimTaskAttempts.TaskAttempt;
import org.granitepath.storage.JobSpec;

/** Runs the tasks of one simulated machine, from image fetch to exit, and reports starts and ends to the rules. */
final class SimTaskRunner {
    /** How long a task runs before it fails, on a faulty machine or if its job fails everywhere. */
    private static final long FAILURE_DELAY_MICROS = 200_000;

    private final SimEnvironment environment;
    private final Rules rules;
    private final SimWorker worker;
    private final Function<String, JobSpec> jobs;
    private final Predicate<String> failsEverywhere;
    private final Set<TaskId> completedTasks;
    private final SimGangs gangs;
    private final SimTaskAttempts attempts;
    private final Set<String> cachedImages = new HashSet<>();
    private boolean changed;
    private boolean faulty;
    private int failedTaskCount;
    private int failureCount;
    private long lastEndMicros;

    /**
     * @param completedTasks the tasks that have a result, shared by all machines
     * @param failsEverywhere whether every task of a job fails, by job id
     */
    SimTaskRunner(
            SimEnvironment environment,
            Rules rules,
            SimWorker worker,
            Function<String, JobSpec> jobs,
            Predicate<String> failsEverywhere,
            Set<TaskId> completedTasks,
            SimGangs gangs) {
        this.environment = environment;
        this.rules = rules;
        this.worker = worker;
        this.jobs = jobs;
        this.failsEverywhere = failsEverywhere;
        this.completedTasks = completedTasks;
        this.gangs = gangs;
        this.attempts = new SimTaskAttempts(worker.type, jobs);
    }

    /** The task attempts on this machine, exited ones included. */
    SimTaskAttempts attempts() {
        return attempts;
    }

    /** Sets whether tasks fail on this machine from now on. */
    void setFaulty(boolean isFaulty) {
        faulty = isFaulty;
    }

    boolean isFaulty() {
        return faulty;
    }

    /** How many tasks have started on this machine that must fail. */
    int failedTaskCount() {
        return failedTaskCount;
    }

    /** How many tasks have failed on this machine, those included that ran when it became faulty. */
    int failureCount() {
        return failureCount;
    }

    /** The time at which a task ended here last. */
    long lastEndMicros() {
        return lastEndMicros;
    }

    /** Whether a task has changed state since {@link #clearChanged}. */
    boolean hasChanged() {
        return changed;
    }

    void clearChanged() {
        changed = false;
    }

    /** Performs the state changes of tasks that are due. */
    void advance() {
        for (TaskAttempt attempt : attempts.all()) {
            if (attempt.gangMember != null) {
                advanceInGang(attempt);
            } else if (attempt.state != TaskState.EXITED && environment.nowMicros() >= attempt.stateEndMicros) {
                advance(attempt);
            }
        }
    }

    private void advance(TaskAttempt attempt) {
        changed = true;
        if (attempt.state == TaskState.FETCHING) {
            onImageFetched(attempt);
            return;
        }
        boolean saving = attempt.state == TaskState.SAVING;
        end(attempt, saving ? ExitCause.STOPPED : mustFail(attempt) ? ExitCause.FAILED : ExitCause.DONE);
        attempt.progressSaved = saving;
    }

    /** Starts a task whose image has been fetched, or lets it wait for the other tasks of its gang. */
    private void onImageFetched(TaskAttempt attempt) {
        JobSpec spec = jobs.apply(attempt.task.job());
        cachedImages.add(spec.image());
        rules.recordTaskStarted(attempt.task, worker.id, worker.type.name(), worker.zone, worker.spot);
        if (spec.isGang() && !completedTasks.contains(attempt.task) && !mustFail(attempt)) {
            attempt.state = TaskState.WAITING;
            attempt.stateEndMicros = Long.MAX_VALUE;
            attempt.gangMember = gangs.join(spec, attempt.task, attempt.number, worker::isHanging);
            return;
        }
        attempt.state = TaskState.RUNNING;
        long runMicros = runTimeMicros(attempt, spec);
        attempt.stateEndMicros = spec.isService() ? Long.MAX_VALUE : environment.nowMicros() + runMicros;
        if (mustFail(attempt)) {
            failedTaskCount++;
            attempt.stateEndMicros = environment.nowMicros() + FAILURE_DELAY_MICROS;
        }
    }

    /** The run time: 0.5 to 1.5 times the estimate, or zero if the task already has its result. */
    private long runTimeMicros(TaskAttempt attempt, JobSpec spec) {
        return completedTasks.contains(attempt.task)
                ? 0
                : spec.estimatedRunMicros() / 2 + (long) (environment.random.nextDouble() * spec.estimatedRunMicros());
    }

    private boolean mustFail(TaskAttempt attempt) {
        return faulty || failsEverywhere.test(attempt.task.job());
    }

    private void advanceInGang(TaskAttempt attempt) {
        ExitCause cause = attempt.gangMember.updateAndGetExitCause();
        if (cause != null) {
            attempt.progressSaved = attempt.gangMember.progressSaved();
            end(attempt, cause);
            return;
        }
        TaskState state = attempt.gangMember.isSaving()
                ? TaskState.SAVING
                : attempt.gangMember.isRunning() ? TaskState.RUNNING : TaskState.WAITING;
        changed |= state != attempt.state;
        attempt.state = state;
    }

    /** Ends all tasks whose jobs match, with the given cause. */
    void end(Predicate<JobSpec> which, ExitCause cause) {
        attempts.active().stream()
                .filter(attempt -> which.test(jobs.apply(attempt.task.job())))
                .forEach(attempt -> end(attempt, cause));
    }

    private void end(TaskAttempt attempt, ExitCause cause) {
        removeFromMachine(attempt);
        if (cause == ExitCause.DONE) {
            completedTasks.add(attempt.task);
            rules.recordTaskCompleted(attempt.task);
        }
        failureCount += cause == ExitCause.FAILED ? 1 : 0;
        lastEndMicros = environment.nowMicros();
        attempt.state = TaskState.EXITED;
        attempt.cause = cause;
        changed = true;
    }

    /** Removes all attempts, exited ones included, as when a machine is lost; heartbeats do not report their exit. */
    void killAll() {
        attempts.all().forEach(this::removeFromMachine);
        attempts.clear();
    }

    /** Removes all attempts and images. */
    void forgetAll() {
        killAll();
        cachedImages.clear();
    }

    /** Records that a task no longer runs on this machine and removes it from its gang. */
    private void removeFromMachine(TaskAttempt attempt) {
        if (attempt.state == TaskState.WAITING
                || attempt.state == TaskState.RUNNING
                || attempt.state == TaskState.SAVING) {
            rules.recordTaskRemoved(attempt.task, worker.id);
        }
        if (attempt.gangMember != null) {
            attempt.gangMember.leave();
            attempt.gangMember = null;
        }
    }

    void execute(WorkerCommand command) {
        TaskAttempt attempt = attempts.get(command.task(), command.attempt());
        switch (command.verb()) {
            case START -> {
                if (attempt == null) {
                    start(command);
                }
            }
            case STOP -> {
                if (attempt != null && attempt.state != TaskState.EXITED) {
                    stop(attempt, command.graceMicros());
                }
            }
            case CLEAR -> {
                if (attempt != null && attempt.state == TaskState.EXITED) {
                    attempts.remove(attempt);
                }
            }
        }
    }

    private void start(WorkerCommand command) {
        changed = true;
        TaskAttempt attempt = new TaskAttempt(command.task(), command.attempt());
        JobSpec spec = jobs.apply(command.task().job());
        attempts.add(attempt);
        ExitCause refusal = attempts.refusalCause(spec, attempt);
        if (refusal != ExitCause.NONE) {
            attempt.state = TaskState.EXITED;
            attempt.cause = refusal;
            return;
        }
        attempt.stateEndMicros = environment.nowMicros() + fetchMicros(spec);
    }

    private long fetchMicros(JobSpec spec) {
        return cachedImages.contains(spec.image()) ? 0 : (long) (spec.imageGb() / worker.type.fetchGbPerSecond() * 1e6);
    }

    private void stop(TaskAttempt attempt, long graceMicros) {
        JobSpec spec = jobs.apply(attempt.task.job());
        boolean canSaveInGang =
                attempt.gangMember != null && attempt.gangMember.isRunning() && spec.checkpointIntervalMicros() > 0;
        if (canSaveInGang && graceMicros > 0 && graceMicros >= spec.saveDurationMicros()) {
            attempt.gangMember.stop();
            changed = true;
            return;
        }
        if (attempt.state == TaskState.RUNNING
                && spec.checkpointIntervalMicros() > 0
                && graceMicros >= spec.saveDurationMicros()) {
            attempt.state = TaskState.SAVING;
            attempt.stateEndMicros = environment.nowMicros() + spec.saveDurationMicros();
            changed = true;
        } else if (attempt.state != TaskState.SAVING || graceMicros == 0) {
            end(attempt, ExitCause.STOPPED);
        }
    }
}
