package org.granitepath.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** The task attempts on a simulated machine, exited ones included, and the capacity that they leave. */
final class SimTaskAttempts {
    /** One attempt of a task. */
    static final class TaskAttempt {
        final TaskId task;
        final long number;
        TaskState state = TaskState.FETCHING;
        ExitCause cause = ExitCause.NONE;
        boolean progressSaved;
        long stateEndMicros;
        /** The membership in a gang attempt; null unless the job is a gang and the image has been fetched. */
        SimGangs.Member gangMember;

        TaskAttempt(TaskId task, long number) {
            this.task = task;
            this.number = number;
        }
    }

    private record Key(TaskId task, long attempt) {}

    private final Map<Key, TaskAttempt> attempts = new LinkedHashMap<>();
    private final MachineType type;
    private final Function<String, JobSpec> jobs;

    SimTaskAttempts(MachineType type, Function<String, JobSpec> jobs) {
        this.type = type;
        this.jobs = jobs;
    }

    /** All attempts, in order of arrival. */
    Collection<TaskAttempt> all() {
        return attempts.values();
    }

    /** An attempt of a task; null if the machine does not know it. */
    TaskAttempt get(TaskId task, long attempt) {
        return attempts.get(new Key(task, attempt));
    }

    void add(TaskAttempt attempt) {
        attempts.put(new Key(attempt.task, attempt.number), attempt);
    }

    void remove(TaskAttempt attempt) {
        attempts.remove(new Key(attempt.task, attempt.number));
    }

    void clear() {
        attempts.clear();
    }

    /** The statuses of all attempts for a heartbeat. */
    List<TaskStatus> statuses() {
        return attempts.values().stream()
                .map(attempt -> new TaskStatus(
                        attempt.task, attempt.number, attempt.state, attempt.cause, attempt.progressSaved))
                .toList();
    }

    /** The attempts that have not exited. */
    List<TaskAttempt> active() {
        return attempts.values().stream()
                .filter(attempt -> attempt.state != TaskState.EXITED)
                .toList();
    }

    /**
     * Adds a running attempt that no current controller knows. It is not reported to the rules, because no controller
     * may start it.
     */
    void addUnknown(TaskId task, long number) {
        TaskAttempt attempt = new TaskAttempt(task, number);
        attempt.state = TaskState.RUNNING;
        attempt.stateEndMicros = Long.MAX_VALUE;
        add(attempt);
    }

    /** Whether any task is running. */
    boolean hasRunningTask() {
        return attempts.values().stream().anyMatch(attempt -> attempt.state == TaskState.RUNNING);
    }

    /** Whether another attempt of the same task is on the machine and has not exited. */
    boolean hasOtherAttempt(TaskAttempt attempt) {
        return attempts.values().stream()
                .anyMatch(other ->
                        other != attempt && other.state != TaskState.EXITED && other.task.equals(attempt.task));
    }

    /**
     * Why the machine refuses to start an attempt; {@code NONE} if it does not refuse.
     *
     * @param spec the spec of the attempt's job; null if the job is unknown
     */
    ExitCause refusalCause(JobSpec spec, TaskAttempt attempt) {
        if (spec == null || attempt.task.index() >= spec.tasks()) {
            return ExitCause.UNKNOWN_JOB;
        }
        return hasOtherAttempt(attempt)
                ? ExitCause.BUSY
                : hasCapacityFor(spec, attempt) ? ExitCause.NONE : ExitCause.INSUFFICIENT_CAPACITY;
    }

    /** How many tasks of each job are on the machine, fetching their image or later, and have not exited, by job id. */
    Map<String, Integer> taskCountsByJob() {
        Map<String, Integer> held = new HashMap<>();
        attempts.values().stream()
                .filter(attempt -> attempt.state != TaskState.EXITED)
                .forEach(attempt -> held.merge(attempt.task.job(), 1, Integer::sum));
        return held;
    }

    /** Whether a task of a job fits beside all attempts that have not exited, apart from one. */
    boolean hasCapacityFor(JobSpec spec, TaskAttempt excluded) {
        return slots(spec, excluded) > 0;
    }

    /** How many tasks of a job fit beside all attempts that have not exited. */
    int slots(JobSpec spec) {
        return slots(spec, null);
    }

    private int slots(JobSpec spec, TaskAttempt excluded) {
        long cpu = type.cpuMillis();
        long memory = type.memoryMillis();
        for (TaskAttempt attempt : attempts.values()) {
            if (attempt != excluded && attempt.state != TaskState.EXITED) {
                JobSpec other = jobs.apply(attempt.task.job());
                cpu -= other.cpuMillis();
                memory -= other.memoryMillis();
            }
        }
        return MachineType.slots(spec, cpu, type.gpuMillis(), memory);
    }
}
