package org.granitepath.coordination.ports;

/**
 * A command to a worker.
 *
 * @param graceMicros the time that a stopped task has to save its progress, in microseconds; 0 for other commands
 */
public record WorkerCommand(Verb verb, TaskId task, long attempt, long graceMicros) {
    /** The kind of a command. */
    public enum Verb {
        /** Starts an attempt of a task. */
        START,
        /** Stops an attempt. */
        STOP,
        /** Makes the worker stop listing an exited attempt in its heartbeats. */
        CLEAR
    }

    /** Returns a command that starts the task, unless the worker has this attempt already. */
    public static WorkerCommand start(TaskId task, long attempt) {
        return new WorkerCommand(Verb.START, task, attempt, 0);
    }

    /** Returns a command that stops the task. The task may save its progress within the grace period. */
    public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
        return new WorkerCommand(Verb.STOP, task, attempt, graceMicros);
    }

    /** Returns a command that makes the worker stop listing an exited attempt in its heartbeats. */
    public static WorkerCommand clear(TaskId task, long attempt) {
        return new WorkerCommand(Verb.CLEAR, task, attempt, 0);
    }
}
