package org.granitepath.recovery;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Machine profiles and jobs for recovery tests. */
final class RecoveryFixtures {
    static final long SECOND_MICROS = 1_000_000;
    static final MachineProfile NORTH = new MachineProfile("small", "north", false);
    static final MachineProfile NORTH_SPOT = new MachineProfile("small", "north", true);
    static final MachineProfile SOUTH_SPOT = new MachineProfile("small", "south", true);

    private RecoveryFixtures() {}

    /** Returns a batch job of standard priority. Null types or a null zone allow any. */
    static JobSpec batch(List<String> types, String zone, boolean spot) {
        return job(JobSpec.Shape.BATCH, Priority.STANDARD, types, zone, spot);
    }

    /** Returns a job of three small tasks. Null types or a null zone allow any. */
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
                SECOND_MICROS,
                0,
                0,
                JobSpec.NO_DEADLINE);
    }
}
