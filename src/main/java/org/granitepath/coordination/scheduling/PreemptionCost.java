package org.granitepath.coordination.scheduling;

import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * Computes what stopping tasks costs, as wasted CPU time in thousandths of a CPU times microseconds. Costs are only
 * compared with each other.
 */
final class PreemptionCost {
    /** Time that a restart costs a task in addition to the progress that it loses. */
    private static final long RESTART_MICROS = 1_000_000;
    /** The same for each task of a gang: the gang must find capacity for all its tasks at once again. */
    private static final long GANG_RESTART_MICROS = 15_000_000;
    /** Factor for the lost time of tasks with a priority above best effort. */
    private static final int ABOVE_BEST_EFFORT_FACTOR = 3;
    /** Cost of each second that the new task spends fetching its image: one CPU for one second. */
    private static final double COST_PER_FETCH_SECOND = 1e9;

    private PreemptionCost() {}

    /** Returns the cost of stopping this task; for a task of a gang, the cost of stopping all tasks of the gang. */
    static double ofStopping(Placement placement, long nowMicros) {
        return placement.job().spec().isGang()
                ? placement.job().placements().stream()
                        .mapToDouble(each -> ofOneTask(each, GANG_RESTART_MICROS, nowMicros))
                        .sum()
                : ofOneTask(placement, RESTART_MICROS, nowMicros);
    }

    /** Returns the cost of fetching the new task's image on the machine; 0 if the machine has the image. */
    static double ofFetchingImage(Machine machine, JobSpec spec) {
        return ImageFetchTime.secondsOn(machine, spec) * COST_PER_FETCH_SECOND;
    }

    private static double ofOneTask(Placement placement, long restartMicros, long nowMicros) {
        JobSpec spec = placement.job().spec();
        long ranMicros = placement.runTimeMicros(nowMicros);
        long checkpointMicros = spec.checkpointIntervalMicros();
        long unsavedMicros = checkpointMicros > 0 ? ranMicros % checkpointMicros : ranMicros;
        return (double) spec.cpuMillis()
                * (unsavedMicros + restartMicros)
                * (spec.priority().isHigherThan(Priority.BEST_EFFORT) ? ABOVE_BEST_EFFORT_FACTOR : 1);
    }
}
