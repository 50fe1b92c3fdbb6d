package org.granitepath.simulation;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A value that a scenario takes at one moment of the simulated time, and looks at after the run. */
final class Observation<T> {
    private @Nullable T value;

    void set(T observed) {
        value = observed;
    }

    /** Fails when that moment never came. */
    T get() {
        return Objects.requireNonNull(value, "the moment to look never came");
    }
}
