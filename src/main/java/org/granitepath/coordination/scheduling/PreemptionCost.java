package org.granitepath.coordination.scheduling;

import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * What stopping work costs, as CPU time thrown away: thousandths of a CPU times microseconds. Only compared with one
 * another.
 */
final class PreemptionCost {
    /** What a restart costs a task beyond the progress that it loses. */
    private static final long RESTART_MICROS = 1_000_000;
    /** The same for each task of a gang, which has to find capacity for all its tasks together once more. */
    private static final long GANG_RESTART_MICROS = 15_000_000;
    /** Lost time of work above best effort counts this many times. */
    private static final int ABOVE_BEST_EFFORT_FACTOR = 3;
    /** A second that the new task fetches its image: one CPU for one second. */
    private static final double PER_FETCH_SECOND = 1e9;

    private PreemptionCost() {}

    /** What stopping this task costs; of a gang, what stopping all its tasks costs. */
    static double ofStopping(Placement placement, long nowMicros) {
        return placement.job().spec().gang()
                ? placement.job().placements().stream()
                        .mapToDouble(each -> ofOneTask(each, GANG_RESTART_MICROS, nowMicros))
                        .sum()
                : ofOneTask(placement, RESTART_MICROS, nowMicros);
    }

    /** What it costs that the new task has to fetch its image there. */
    static double ofFetchingImage(Machine machine, JobSpec spec) {
        return ImageFetchTime.secondsOn(machine, spec) * PER_FETCH_SECOND;
    }

    private static double ofOneTask(Placement placement, long restartMicros, long nowMicros) {
        JobSpec spec = placement.job().spec();
        long ranMicros = placement.ranMicros(nowMicros);
        long checkpointMicros = spec.checkpointMicros();
        long unsavedMicros = checkpointMicros > 0 ? ranMicros % checkpointMicros : ranMicros;
        return (double) spec.cpuMillis()
                * (unsavedMicros + restartMicros)
                * (spec.priority().above(Priority.BEST_EFFORT) ? ABOVE_BEST_EFFORT_FACTOR : 1);
    }
}
