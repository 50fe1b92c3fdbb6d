package org.granitepath.coordination.placement;

import java.util.Objects;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** Computes how long a task waits for its image before it can run. */
public final class ImageFetchTime {
    private ImageFetchTime() {}

    /** Returns how many seconds a machine of this type that lacks the job's image takes to fetch it. */
    public static double seconds(JobSpec spec, MachineType type) {
        return spec.imageGb() / type.fetchGbPerSecond();
    }

    /**
     * Returns how many seconds this machine takes to fetch the job's image; 0 if it has the image.
     *
     * @param machine a machine that accepts tasks, so that its type is known
     */
    public static double secondsOn(Machine machine, JobSpec spec) {
        return machine.capacity().hasImage(spec.image()) ? 0 : seconds(spec, knownType(machine));
    }

    /** Returns the type of a machine that accepts tasks. Throws a NullPointerException if it is not known. */
    static MachineType knownType(Machine machine) {
        return Objects.requireNonNull(machine.type(), "a machine that accepts tasks must have a known type");
    }
}
