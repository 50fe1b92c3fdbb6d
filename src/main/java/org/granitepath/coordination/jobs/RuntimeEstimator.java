package org.granitepath.coordination.jobs;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;

/**
 * How long tasks really run. Owners' estimates are often wrong by half, on some days all in one direction; what has
 * finished corrects them, by class and, once some of its tasks are done, by job.
 */
public final class RuntimeEstimator {
    /** How many finished tasks it takes to outweigh the owners' word. */
    private static final double CLASS_PRIOR = 10;

    private static final double JOB_PRIOR = 2;
    /** Older experience fades. */
    private static final double MEMORY = 200;

    private static final class Tally {
        double expected;
        double actual;
        double count;
    }

    private final Map<String, Tally> classes = new Object2ObjectOpenHashMap<>();

    /** A task of the job ran to its end. */
    public void finished(ActiveJob job, long ranMicros) {
        job.taskFinished(ranMicros);
        Tally tally = classes.computeIfAbsent(job.spec().jobClass(), unused -> new Tally());
        if (tally.count >= MEMORY) {
            tally.expected /= 2;
            tally.actual /= 2;
            tally.count /= 2;
        }
        tally.expected += job.spec().estimateMicros();
        tally.actual += ranMicros;
        tally.count++;
    }

    /** The run time to expect of one task of this job. */
    public long taskMicros(ActiveJob job) {
        double estimate = Math.max(1_000_000, job.spec().estimateMicros());
        Tally tally = classes.get(job.spec().jobClass());
        if (tally != null && tally.expected > 0) {
            double ratio = (tally.actual / tally.expected * tally.count + CLASS_PRIOR) / (tally.count + CLASS_PRIOR);
            estimate *= Math.max(0.2, Math.min(5, ratio));
        }
        return (long) ((job.finishedMicros() + JOB_PRIOR * estimate) / (job.finishedTasks() + JOB_PRIOR));
    }
}
