package org.granitepath.coordination;

/** A command to a worker. */
public record Order(Verb verb, TaskId task, long attempt, long graceMicros) {
    public enum Verb {
        START,
        STOP,
        FORGET
    }

    public static Order start(TaskId task, long attempt) {
        return new Order(Verb.START, task, attempt, 0);
    }

    public static Order stop(TaskId task, long attempt, long graceMicros) {
        return new Order(Verb.STOP, task, attempt, graceMicros);
    }

    public static Order forget(TaskId task, long attempt) {
        return new Order(Verb.FORGET, task, attempt, 0);
    }
}
