package org.granitepath.coordination.placement;

import java.util.Objects;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** How long a task waits for its image before it can run. */
public final class ImageFetchTime {
    private ImageFetchTime() {}

    /** Seconds in which a machine of this type that lacks the job's image fetches it. */
    public static double seconds(JobSpec spec, MachineType type) {
        return spec.imageGb() / type.fetchGbPerSecond();
    }

    /** The same on a machine that takes tasks, so that its type is known; 0 where the image is. */
    public static double secondsOn(Machine machine, JobSpec spec) {
        return machine.capacity().hasImage(spec.image()) ? 0 : seconds(spec, knownType(machine));
    }

    /** The type of a machine that takes tasks. */
    static MachineType knownType(Machine machine) {
        return Objects.requireNonNull(machine.type(), "a machine that takes tasks has a known type");
    }
}
