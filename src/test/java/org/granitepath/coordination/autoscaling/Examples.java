package org.granitepath.coordination.autoscaling;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Priority;

/** A machine type and jobs for the tests of this package. */
final class Examples {
    static final long SECOND_MICROS = 1_000_000;
    static final long BOOT_MICROS = 20 * SECOND_MICROS;
    /** A type of four CPUs and 16 GB, at 3.0 an hour on demand and 1.0 an hour as a spot instance. */
    static final MachineType TYPE =
            new MachineType("m4", 4_000, 0, 16_000, 1.0, 3.0, 1.0, BOOT_MICROS, List.of("a", "b"));

    private Examples() {}

    /** Returns a job of 8 tasks of one CPU and 1 GB that fetch an image of 5 GB. */
    static JobSpec job(JobSpec.Shape shape, String zone, boolean spot, long deadlineMicros) {
        return new JobSpec(
                "run-1",
                "class",
                "team",
                shape,
                Priority.STANDARD,
                8,
                1_000,
                0,
                1_000,
                "image",
                5.0,
                null,
                zone,
                false,
                false,
                spot,
                60 * SECOND_MICROS,
                0,
                0,
                deadlineMicros);
    }

    /** Returns a batch job that may use spot instances in any zone. */
    static JobSpec batch() {
        return job(JobSpec.Shape.BATCH, null, true, JobSpec.NO_DEADLINE);
    }
}
