package org.granitepath.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;

/** What the tasks of gangs know of each other, and how far each gang's work has come. Checkpoints outlive machines. */
final class SimGangs {
    /** How long a task waits for the others. */
    static final long START_TIMEOUT_MICROS = 12_000_000;
    /** Within this time the tasks notice that one of them is gone. */
    static final long PEER_LOSS_DETECTION_MICROS = 3_000_000;

    private final SimEnvironment environment;
    private final Rules rules;
    private final Set<TaskId> completedTasks;
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** Progress of each job that is safe. */
    private final Map<String, Long> savedProgressMicros = new HashMap<>();
    /** How long each job runs in all. */
    private final Map<String, Long> totalRunMicrosByJob = new HashMap<>();

    private int startedAttemptCount;
    private int savedAttemptCount;
    private int startTimeoutCount;

    SimGangs(SimEnvironment environment, Rules rules, Set<TaskId> completedTasks) {
        this.environment = environment;
        this.rules = rules;
        this.completedTasks = completedTasks;
    }

    /** How many attempts have started. */
    int startedAttemptCount() {
        return startedAttemptCount;
    }

    /** How many attempts ended by a stop for which all tasks saved their progress. */
    int savedAttemptCount() {
        return savedAttemptCount;
    }

    /** How many tasks waited for the others in vain. */
    int startTimeoutCount() {
        return startTimeoutCount;
    }

    /** A task of a gang that has its image, on its machine. */
    final class Member {
        private final Attempt attempt;
        private final TaskId task;
        private final BooleanSupplier machineHangs;
        private final long joinedMicros = environment.nowMicros();
        private long stopRequestMicros = -1;
        private ExitCause exitCause;
        private boolean progressSaved;

        private Member(Attempt attempt, TaskId task, BooleanSupplier hangs) {
            this.attempt = attempt;
            this.task = task;
            this.machineHangs = hangs;
        }

        boolean isRunning() {
            return attempt.phase != Phase.FORMING;
        }

        boolean isSaving() {
            return stopRequestMicros >= 0;
        }

        /** Why it is to exit, or null. */
        ExitCause updateAndGetExitCause() {
            attempt.update();
            return exitCause;
        }

        /** Whether its progress was saved. */
        boolean progressSaved() {
            return progressSaved;
        }

        /** It is told to stop with enough time to save. */
        void stop() {
            attempt.stop(this);
        }

        /** It is on its machine no longer. */
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

        /** Whether a task is gone or its machine hangs, or one was: what the others have noticed is final. */
        private boolean hasLostTask() {
            return lossDetectedMicros != Long.MAX_VALUE
                    || members.size() < spec.tasks()
                    || members.values().stream().anyMatch(member -> member.machineHangs.getAsBoolean());
        }

        /** The save fails, or the others exit a while after one is gone; what was made since the checkpoint is lost. */
        private void handleTaskLoss() {
            if (lossDetectedMicros == Long.MAX_VALUE) {
                long interval = spec.checkpointMicros();
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
                            && environment.nowMicros() - member.stopRequestMicros >= spec.saveMicros())
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

        private void saveProgress(long progress) {
            savedProgressMicros.merge(spec.id(), progress, Math::max);
        }

        private void end(ExitCause cause, boolean kept) {
            phase = Phase.ENDED;
            for (Member member : members.values()) {
                member.exitCause = cause;
                member.progressSaved = kept;
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
                unknown ->
                        spec.estimateMicros() / 2 + (long) (environment.random.nextDouble() * spec.estimateMicros()));
    }

    /** A task has its image and joins the others of its attempt. */
    Member join(JobSpec spec, TaskId task, long number, BooleanSupplier hangs) {
        Attempt attempt = attempts.computeIfAbsent(spec.id() + "#" + number, unknown -> new Attempt(spec));
        Member member = new Member(attempt, task, hangs);
        if (attempt.phase != Phase.FORMING) {
            member.exitCause = ExitCause.PEER_GONE;
        }
        attempt.members.put(task.index(), member);
        return member;
    }

    /** How many attempts of a job there have been. */
    long attemptCount(String job) {
        return attempts.values().stream()
                .filter(attempt -> attempt.spec.id().equals(job))
                .count();
    }

    /** Whether all tasks of the job run, as far as they know. */
    boolean isRunning(String job) {
        return attempts.values().stream()
                .anyMatch(attempt -> attempt.spec.id().equals(job) && attempt.phase == Phase.RUNNING);
    }
}
