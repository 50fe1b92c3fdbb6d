package org.granitepath.coordination.config;

/**
 * Service-level objective of a job class. A value of 0 means that the objective does not set that bound.
 *
 * @param waitMicros the tasks of the class start within this time
 * @param deadlineFactor the jobs of the class end within this multiple of their deadline
 * @param finishMicros the jobs of the class end within this time
 */
public record Objective(long waitMicros, double deadlineFactor, long finishMicros) {
    /** Sets no bound. */
    public static final Objective NONE = new Objective(0, 0, 0);
}
