package org.granitepath.coordination.jobs;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;

/**
 * Estimates the actual run times of tasks. The estimates of job owners are often wrong by half, on some days all in the
 * same direction. The run times of finished tasks correct them by job class and, once some of its tasks are done, by
 * job.
 */
public final class RuntimeEstimator {
    /** This many finished tasks of a class have the same weight as the estimates of its owners. */
    private static final double CLASS_PRIOR_TASKS = 10;

    /** This many finished tasks of one job have the same weight as the corrected estimate. */
    private static final double JOB_PRIOR_TASKS = 2;
    /** At this many tasks the history of a class is halved, so that older run times lose weight. */
    private static final double MAX_HISTORY_TASKS = 200;

    private static final long MIN_ESTIMATE_MICROS = 1_000_000;
    /** The history of a class multiplies an estimate by at most this factor, and by at least the next one. */
    private static final double MAX_CORRECTION = 5;

    private static final double MIN_CORRECTION = 0.2;

    /** The estimated and the actual run times of the finished tasks of one job class. */
    private static final class ClassHistory {
        private double expectedMicros;
        private double actualMicros;
        private double finishedTasks;

        /** Adds a finished task and reduces the weight of old ones. */
        void add(long estimateMicros, long runMicros) {
            if (finishedTasks >= MAX_HISTORY_TASKS) {
                expectedMicros /= 2;
                actualMicros /= 2;
                finishedTasks /= 2;
            }
            expectedMicros += estimateMicros;
            actualMicros += runMicros;
            finishedTasks++;
        }

        /** Returns the factor by which estimates of this class are to be multiplied; 1 while nothing is known. */
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

    /** Records the run time of a task of the job that ran to its end. */
    public void recordFinishedTask(ActiveJob job, long runMicros) {
        job.addRunTime(runMicros);
        ClassHistory history = historyByClass.computeIfAbsent(job.spec().jobClass(), unused -> new ClassHistory());
        history.add(job.spec().estimatedRunMicros(), runMicros);
    }

    /** Returns the expected run time of one task of the job, in microseconds. */
    public long expectedTaskMicros(ActiveJob job) {
        double estimateMicros = Math.max(MIN_ESTIMATE_MICROS, job.spec().estimatedRunMicros());
        ClassHistory history = historyByClass.get(job.spec().jobClass());
        if (history != null) {
            estimateMicros *= history.correctionFactor();
        }
        return (long)
                ((job.totalRunMicros() + JOB_PRIOR_TASKS * estimateMicros) / (job.runTimeCount() + JOB_PRIOR_TASKS));
    }
}
