package org.granitepath.coordination;

/** What a user is told. */
public sealed interface UserAnswer {
    enum JobState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    record Status(boolean created, String job, JobState state, int done, int running) implements UserAnswer {}

    record NotFound() implements UserAnswer {}

    record Impossible(String reason) implements UserAnswer {}

    /** Can't be answered now; worth asking again after this many seconds. */
    record TryLater(String reason, int afterSeconds) implements UserAnswer {}
}
