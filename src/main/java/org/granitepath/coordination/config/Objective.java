package org.granitepath.coordination.config;

/**
 * What is expected of a class: its tasks start within {@code waitMicros} (0: not said), its jobs end within this many
 * times their deadline, or within {@code finishMicros} (0: not said).
 */
public record Objective(long waitMicros, double deadlineFactor, long finishMicros) {
    public static final Objective NONE = new Objective(0, 0, 0);
}
