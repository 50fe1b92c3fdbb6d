package org.granitepath.recovery;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Machines and jobs for tests of a recovery. */
final class RecoveryFixtures {
    static final long SECOND = 1_000_000;
    static final MachineProfile NORTH = new MachineProfile("small", "north", false);
    static final MachineProfile NORTH_SPOT = new MachineProfile("small", "north", true);
    static final MachineProfile SOUTH_SPOT = new MachineProfile("small", "south", true);

    private RecoveryFixtures() {}

    /** A batch job of standard priority; types and zone may be null, which allows any. */
    static JobSpec batch(List<String> types, String zone, boolean spot) {
        return job(JobSpec.Shape.BATCH, Priority.STANDARD, types, zone, spot);
    }

    /** A job of three small tasks; types and zone may be null, which allows any. */
    static JobSpec job(JobSpec.Shape shape, Priority priority, List<String> types, String zone, boolean spot) {
        return new JobSpec(
                "run-1",
                "class",
                "team",
                shape,
                priority,
                3,
                1_000,
                0,
                1_000,
                "image",
                1,
                types,
                zone,
                false,
                false,
                spot,
                SECOND,
                0,
                0,
                JobSpec.NO_DEADLINE);
    }
}
