package org.granitepath.coordination.jobs;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;

/**
 * How long tasks really run. Owners' estimates are often wrong by half, on some days all in one direction; what has
 * finished corrects them, by class and, once some of its tasks are done, by job.
 */
public final class RuntimeEstimator {
    /** How many finished tasks of a class weigh as much as its owners' estimates. */
    private static final double CLASS_PRIOR_TASKS = 10;

    /** The same for the finished tasks of one job. */
    private static final double JOB_PRIOR_TASKS = 2;
    /** Older experience fades. */
    private static final double MAX_HISTORY_TASKS = 200;

    private static final long MIN_ESTIMATE_MICROS = 1_000_000;
    /** Experience with a class changes an estimate by these factors at most. */
    private static final double MAX_CORRECTION = 5;

    private static final double MIN_CORRECTION = 0.2;

    /** What the finished tasks of one job class were expected to take, and took. */
    private static final class ClassHistory {
        private double expectedMicros;
        private double actualMicros;
        private double finishedTasks;

        /** Takes in a finished task; what is long ago counts less and less. */
        void add(long estimateMicros, long ranMicros) {
            if (finishedTasks >= MAX_HISTORY_TASKS) {
                expectedMicros /= 2;
                actualMicros /= 2;
                finishedTasks /= 2;
            }
            expectedMicros += estimateMicros;
            actualMicros += ranMicros;
            finishedTasks++;
        }

        /** By what factor estimates of this class are to be corrected; 1 while nothing is known. */
        double correctionFactor() {
            if (expectedMicros <= 0) {
                return 1;
            }
            double measured = actualMicros / expectedMicros;
            double ratio = (measured * finishedTasks + CLASS_PRIOR_TASKS) / (finishedTasks + CLASS_PRIOR_TASKS);
            return Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, ratio));
        }
    }

    private final Map<String, ClassHistory> historyByClass = new Object2ObjectOpenHashMap<>();

    /** A task of the job ran to its end. */
    public void recordFinishedTask(ActiveJob job, long ranMicros) {
        job.addRunTime(ranMicros);
        ClassHistory history = historyByClass.computeIfAbsent(job.spec().jobClass(), unused -> new ClassHistory());
        history.add(job.spec().estimateMicros(), ranMicros);
    }

    /** The run time to expect of one task of this job. */
    public long expectedTaskMicros(ActiveJob job) {
        double estimateMicros = Math.max(MIN_ESTIMATE_MICROS, job.spec().estimateMicros());
        ClassHistory history = historyByClass.get(job.spec().jobClass());
        if (history != null) {
            estimateMicros *= history.correctionFactor();
        }
        return (long)
                ((job.totalRunMicros() + JOB_PRIOR_TASKS * estimateMicros) / (job.measuredTasks() + JOB_PRIOR_TASKS));
    }
}
