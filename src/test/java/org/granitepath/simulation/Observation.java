package org.granitepath.simulation;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A value that a scenario records at one simulated time and checks after the run. */
final class Observation<T> {
    private @Nullable T value;

    void set(T observed) {
        value = observed;
    }

    /**
     * The recorded value.
     *
     * @throws NullPointerException if no value was recorded
     */
    T get() {
        return Objects.requireNonNull(value, "no value was recorded during the run");
    }
}
