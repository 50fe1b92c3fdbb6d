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

/** Runs the tasks of one simulated machine: fetches images, starts, saves and ends tasks, and tells the rules. */
final class SimTaskRunner {
    /** A task on a faulty machine, or of a broken job, fails after so long. */
    private static final long FAILS_AFTER = 200_000;

    private final SimEnvironment environment;
    private final Rules rules;
    private final SimWorker worker;
    private final Function<String, JobSpec> jobs;
    private final Predicate<String> failsEverywhere;
    private final Set<TaskId> results;
    private final SimGangs gangs;
    private final SimTaskAttempts attempts;
    private final Set<String> images = new HashSet<>();
    private boolean changed;
    private boolean faulty;
    private int failedTaskCount;

    /**
     * @param results tasks that have their result, on whichever machine
     * @param failsEverywhere whether every task of a job fails
     */
    SimTaskRunner(
            SimEnvironment environment,
            Rules rules,
            SimWorker worker,
            Function<String, JobSpec> jobs,
            Predicate<String> failsEverywhere,
            Set<TaskId> results,
            SimGangs gangs) {
        this.environment = environment;
        this.rules = rules;
        this.worker = worker;
        this.jobs = jobs;
        this.failsEverywhere = failsEverywhere;
        this.results = results;
        this.gangs = gangs;
        this.attempts = new SimTaskAttempts(worker.type, jobs);
    }

    /** What is on the machine, exited attempts included. */
    SimTaskAttempts attempts() {
        return attempts;
    }

    /** From now on every task fails here. */
    void becomeFaulty() {
        faulty = true;
    }

    boolean isFaulty() {
        return faulty;
    }

    /** How many tasks have failed here. */
    int failedTaskCount() {
        return failedTaskCount;
    }

    /** Whether a task has changed its state since {@link #resetChanged}. */
    boolean hasChanged() {
        return changed;
    }

    void clearChanged() {
        changed = false;
    }

    /** Each task does what is due now. */
    void advance() {
        for (TaskAttempt run : attempts.all()) {
            if (run.member != null) {
                advanceInGang(run);
            } else if (run.state != TaskState.EXITED && environment.nowMicros() >= run.until) {
                advance(run);
            }
        }
    }

    private void advance(TaskAttempt run) {
        changed = true;
        if (run.state == TaskState.FETCHING) {
            begin(run);
            return;
        }
        boolean saving = run.state == TaskState.SAVING;
        end(run, saving ? ExitCause.STOPPED : fails(run) ? ExitCause.FAILED : ExitCause.DONE);
        run.saved = saving;
    }

    /** The image is here: the task runs, or waits for the others of its gang. */
    private void begin(TaskAttempt run) {
        JobSpec spec = jobs.apply(run.task.job());
        images.add(spec.image());
        rules.recordTaskStarted(run.task, worker.id, worker.type.name(), worker.zone, worker.spot);
        if (spec.gang() && !results.contains(run.task) && !fails(run)) {
            run.state = TaskState.WAITING;
            run.until = Long.MAX_VALUE;
            run.member = gangs.join(spec, run.task, run.number, worker::isHanging);
            return;
        }
        run.state = TaskState.RUNNING;
        long runMicros = runMicros(run, spec);
        run.until = spec.service() ? Long.MAX_VALUE : environment.nowMicros() + runMicros;
        if (fails(run)) {
            failedTaskCount++;
            run.until = environment.nowMicros() + FAILS_AFTER;
        }
    }

    /** Half of what was estimated to half as much again; nothing is left to do where the result is there already. */
    private long runMicros(TaskAttempt run, JobSpec spec) {
        return results.contains(run.task)
                ? 0
                : spec.estimateMicros() / 2 + (long) (environment.random.nextDouble() * spec.estimateMicros());
    }

    private boolean fails(TaskAttempt run) {
        return faulty || failsEverywhere.test(run.task.job());
    }

    private void advanceInGang(TaskAttempt run) {
        ExitCause cause = run.member.exit();
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

    /** All tasks whose jobs fit are over, each for this reason. */
    void end(Predicate<JobSpec> which, ExitCause cause) {
        attempts.live().stream()
                .filter(run -> which.test(jobs.apply(run.task.job())))
                .forEach(run -> end(run, cause));
    }

    private void end(TaskAttempt run, ExitCause cause) {
        leave(run);
        if (cause == ExitCause.DONE) {
            results.add(run.task);
            rules.recordTaskCompleted(run.task);
        }
        run.state = TaskState.EXITED;
        run.cause = cause;
        changed = true;
    }

    /** All tasks are gone without a word. */
    void killAll() {
        attempts.all().forEach(this::leave);
        attempts.clear();
    }

    /** A task that is on the machine is so no longer. */
    private void leave(TaskAttempt run) {
        if (run.state == TaskState.WAITING || run.state == TaskState.RUNNING || run.state == TaskState.SAVING) {
            rules.recordTaskRemoved(run.task, worker.id);
        }
        if (run.member != null) {
            run.member.leave();
            run.member = null;
        }
    }

    void execute(WorkerCommand command) {
        TaskAttempt run = attempts.get(command.task(), command.attempt());
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
                    attempts.remove(run);
                }
            }
        }
    }

    private void start(WorkerCommand command) {
        changed = true;
        TaskAttempt run = new TaskAttempt(command.task(), command.attempt());
        JobSpec spec = jobs.apply(command.task().job());
        attempts.add(run);
        ExitCause refusal = attempts.refusal(spec, run);
        if (refusal != ExitCause.NONE) {
            run.state = TaskState.EXITED;
            run.cause = refusal;
            return;
        }
        run.until = environment.nowMicros() + fetchMicros(spec);
    }

    private long fetchMicros(JobSpec spec) {
        return images.contains(spec.image()) ? 0 : (long) (spec.imageGb() / worker.type.fetchGbPerSecond() * 1e6);
    }

    private void stop(TaskAttempt run, long graceMicros) {
        JobSpec spec = jobs.apply(run.task.job());
        boolean savesInGang = run.member != null && run.member.running() && spec.checkpointMicros() > 0;
        if (savesInGang && graceMicros > 0 && graceMicros >= spec.saveMicros()) {
            run.member.stop();
            changed = true;
            return;
        }
        if (run.state == TaskState.RUNNING && spec.checkpointMicros() > 0 && graceMicros >= spec.saveMicros()) {
            run.state = TaskState.SAVING;
            run.until = environment.nowMicros() + spec.saveMicros();
            changed = true;
        } else if (run.state != TaskState.SAVING || graceMicros == 0) {
            end(run, ExitCause.STOPPED);
        }
    }
}
