package org.granitepath.coordination;

/** A command to a worker. */
public record WorkerCommand(Verb verb, TaskId task, long attempt, long graceMicros) {
    public enum Verb {
        START,
        STOP,
        CLEAR
    }

    public static WorkerCommand start(TaskId task, long attempt) {
        return new WorkerCommand(Verb.START, task, attempt, 0);
    }

    public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
        return new WorkerCommand(Verb.STOP, task, attempt, graceMicros);
    }

    public static WorkerCommand clear(TaskId task, long attempt) {
        return new WorkerCommand(Verb.CLEAR, task, attempt, 0);
    }
}
