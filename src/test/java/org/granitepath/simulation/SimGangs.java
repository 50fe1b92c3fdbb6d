package org.granitepath.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;

/**
 * Simulates how the tasks of each gang wait for each other, save their progress together and notice the loss of a task.
 * Checkpoints are kept when machines are lost. Progress and times are in microseconds.
 */
final class SimGangs {
    /** How long a task waits for the other tasks of its gang. */
    static final long START_TIMEOUT_MICROS = 12_000_000;
    /** The tasks of a gang notice within this time that one of them is gone. */
    static final long PEER_LOSS_DETECTION_MICROS = 3_000_000;

    private final SimEnvironment environment;
    private final Rules rules;
    private final Set<TaskId> completedTasks;
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** The progress of each job that a checkpoint keeps, by job id. */
    private final Map<String, Long> savedProgressMicros = new HashMap<>();
    /** The total run time of each job, by job id. */
    private final Map<String, Long> totalRunMicrosByJob = new HashMap<>();

    private int startedAttemptCount;
    private int savedAttemptCount;
    private int startTimeoutCount;

    SimGangs(SimEnvironment environment, Rules rules, Set<TaskId> completedTasks) {
        this.environment = environment;
        this.rules = rules;
        this.completedTasks = completedTasks;
    }

    /** How many gang attempts have started to run. */
    int startedAttemptCount() {
        return startedAttemptCount;
    }

    /** How many gang attempts were stopped after all their tasks had saved their progress. */
    int savedAttemptCount() {
        return savedAttemptCount;
    }

    /** How many tasks exited because the other tasks of their gang did not start in time. */
    int startTimeoutCount() {
        return startTimeoutCount;
    }

    /** A task of a gang attempt that has its image. */
    final class Member {
        private final Attempt attempt;
        private final TaskId task;
        private final BooleanSupplier machineHangs;
        private final long joinedMicros = environment.nowMicros();
        private long stopRequestMicros = -1;
        private ExitCause exitCause;
        private boolean progressSaved;

        private Member(Attempt attempt, TaskId task, BooleanSupplier machineHangs) {
            this.attempt = attempt;
            this.task = task;
            this.machineHangs = machineHangs;
        }

        boolean isRunning() {
            return attempt.phase != Phase.FORMING;
        }

        boolean isSaving() {
            return stopRequestMicros >= 0;
        }

        /** Advances the gang attempt; returns the cause with which this task exits now, or null. */
        ExitCause updateAndGetExitCause() {
            attempt.update();
            return exitCause;
        }

        /** Whether the progress of the task was saved before it exited. */
        boolean progressSaved() {
            return progressSaved;
        }

        /** Stops the task, which has enough time to save its progress. */
        void stop() {
            attempt.stop(this);
        }

        /** Removes the task, which is no longer on its machine, from the gang attempt. */
        void leave() {
            attempt.leave(this);
        }
    }

    private enum Phase {
        FORMING,
        RUNNING,
        STOPPING,
        ENDED
    }

    private final class Attempt {
        final JobSpec spec;
        final Map<Integer, Member> members = new HashMap<>();
        Phase phase = Phase.FORMING;
        long startedMicros;
        long initialProgressMicros;
        long firstStopMicros = -1;
        long finalProgressMicros = -1;
        long lossDetectedMicros = Long.MAX_VALUE;

        Attempt(JobSpec spec) {
            this.spec = spec;
        }

        long progressMicros() {
            return finalProgressMicros >= 0
                    ? finalProgressMicros
                    : initialProgressMicros + environment.nowMicros() - startedMicros;
        }

        void update() {
            switch (phase) {
                case FORMING -> updateForming();
                case RUNNING -> updateRunning();
                case STOPPING -> updateStopping();
                case ENDED -> {}
            }
        }

        private void updateForming() {
            boolean isComplete = members.size() == spec.tasks()
                    && members.values().stream()
                            .noneMatch(member -> member.machineHangs.getAsBoolean() || member.exitCause != null);
            if (isComplete) {
                phase = Phase.RUNNING;
                startedAttemptCount++;
                startedMicros = environment.nowMicros();
                initialProgressMicros = savedProgressMicros.getOrDefault(spec.id(), 0L);
                return;
            }
            for (Member member : members.values()) {
                if (member.exitCause == null && environment.nowMicros() - member.joinedMicros > START_TIMEOUT_MICROS) {
                    member.exitCause = ExitCause.INCOMPLETE;
                    startTimeoutCount++;
                }
            }
        }

        private void updateRunning() {
            if (hasLostTask()) {
                handleTaskLoss();
            } else if (progressMicros() >= totalRunMicros(spec)) {
                for (int i = 0; i < spec.tasks(); i++) {
                    completedTasks.add(new TaskId(spec.id(), i));
                    rules.recordTaskCompleted(new TaskId(spec.id(), i));
                }
                end(ExitCause.DONE, false);
            }
        }

        /** Whether a task is gone or its machine hangs. Once this was the case, it stays so. */
        private boolean hasLostTask() {
            return lossDetectedMicros != Long.MAX_VALUE
                    || members.size() < spec.tasks()
                    || members.values().stream().anyMatch(member -> member.machineHangs.getAsBoolean());
        }

        /**
         * Handles the loss of a task: the others exit after up to {@link #PEER_LOSS_DETECTION_MICROS}, a save under way
         * fails, and the progress since the last checkpoint is lost.
         */
        private void handleTaskLoss() {
            if (lossDetectedMicros == Long.MAX_VALUE) {
                long interval = spec.checkpointIntervalMicros();
                if (interval > 0) {
                    saveProgress(progressMicros() / interval * interval);
                }
                finalProgressMicros = progressMicros();
                lossDetectedMicros =
                        environment.nowMicros() + environment.random.nextInt((int) PEER_LOSS_DETECTION_MICROS);
            }
            if (environment.nowMicros() >= lossDetectedMicros) {
                end(ExitCause.PEER_GONE, false);
            }
        }

        private void updateStopping() {
            long saves = members.values().stream()
                    .filter(member -> member.isSaving()
                            && environment.nowMicros() - member.stopRequestMicros >= spec.saveDurationMicros())
                    .count();
            if (hasLostTask()) {
                handleTaskLoss();
            } else if (saves == spec.tasks()) {
                saveProgress(progressMicros());
                savedAttemptCount++;
                end(ExitCause.STOPPED, true);
            } else if (environment.nowMicros() - firstStopMicros > PEER_LOSS_DETECTION_MICROS
                    && members.values().stream()
                            .anyMatch(member -> !member.isSaving()
                                    || member.stopRequestMicros - firstStopMicros > PEER_LOSS_DETECTION_MICROS)) {
                handleTaskLoss();
            }
        }

        private void saveProgress(long newProgressMicros) {
            savedProgressMicros.merge(spec.id(), newProgressMicros, Math::max);
        }

        private void end(ExitCause exitCause, boolean progressSaved) {
            phase = Phase.ENDED;
            for (Member member : members.values()) {
                member.exitCause = exitCause;
                member.progressSaved = progressSaved;
            }
        }

        void stop(Member member) {
            if (phase == Phase.RUNNING) {
                phase = Phase.STOPPING;
                firstStopMicros = environment.nowMicros();
                finalProgressMicros = progressMicros();
            }
            if (phase == Phase.STOPPING && !member.isSaving()) {
                member.stopRequestMicros = environment.nowMicros();
            }
        }

        void leave(Member member) {
            members.remove(member.task.index(), member);
        }
    }

    private long totalRunMicros(JobSpec spec) {
        return totalRunMicrosByJob.computeIfAbsent(
                spec.id(),
                unknown -> spec.estimatedRunMicros() / 2
                        + (long) (environment.random.nextDouble() * spec.estimatedRunMicros()));
    }

    /** Adds a task that has its image to a gang attempt; it exits at once if the attempt is no longer forming. */
    Member join(JobSpec spec, TaskId task, long number, BooleanSupplier machineHangs) {
        Attempt attempt = attempts.computeIfAbsent(spec.id() + "#" + number, unknown -> new Attempt(spec));
        Member member = new Member(attempt, task, machineHangs);
        if (attempt.phase != Phase.FORMING) {
            member.exitCause = ExitCause.PEER_GONE;
        }
        attempt.members.put(task.index(), member);
        return member;
    }

    /** How many gang attempts of a job there have been. */
    long attemptCount(String job) {
        return attempts.values().stream()
                .filter(attempt -> attempt.spec.id().equals(job))
                .count();
    }

    /** Whether a gang attempt of the job is running; its tasks may not have noticed the loss of one yet. */
    boolean isRunning(String job) {
        return attempts.values().stream()
                .anyMatch(attempt -> attempt.spec.id().equals(job) && attempt.phase == Phase.RUNNING);
    }
}
