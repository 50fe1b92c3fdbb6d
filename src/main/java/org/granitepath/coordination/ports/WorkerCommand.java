package org.granitepath.coordination.ports;

/** A command to a worker. */
public record WorkerCommand(Verb verb, TaskId task, long attempt, long graceMicros) {
    /** What the worker is to do. */
    public enum Verb {
        START,
        STOP,
        CLEAR
    }

    /** Starts the task, unless the worker has this attempt already. */
    public static WorkerCommand start(TaskId task, long attempt) {
        return new WorkerCommand(Verb.START, task, attempt, 0);
    }

    /** Ends the task, which may save itself if it can do so in this time. */
    public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
        return new WorkerCommand(Verb.STOP, task, attempt, graceMicros);
    }

    /** Removes an exited attempt from the heartbeats. */
    public static WorkerCommand clear(TaskId task, long attempt) {
        return new WorkerCommand(Verb.CLEAR, task, attempt, 0);
    }
}
