package org.granitepath.coordination.scheduling;

import org.apache.commons.numbers.gamma.LogGamma;
import org.granitepath.coordination.config.PriorityWeights;
import org.granitepath.storage.Priority;

/**
 * Computes the fair share of a job: the weighted workforce of D. Difallah et al., "Deadline-Aware Fair Scheduling for
 * Multi-Tenant Crowd-Powered Systems", sections 3 and 4.6, in the simplified variant SDAFS. The job with the lowest
 * value gets the next task. A batch in the paper corresponds to a job, a crowd worker to capacity for one task.
 *
 * <p>P is the weight of the job's priority, T its number of tasks, L the number of its unfinished tasks and R the
 * number of its running tasks. The value x is
 *
 * <ul>
 *   <li>without a deadline: {@code x = R / (P T)}
 *   <li>with a deadline: {@code x = 1/(P T) * sum over i from 0 to R - 1 of ln(1 + (L-i)/T)}
 * </ul>
 *
 * <p>The sum equals the logarithm of a quotient of factorials, so it costs two evaluations of ln Gamma whatever the
 * value of R.
 */
public final class FairShare {
    private final PriorityWeights weights;

    /** Uses these weights, which come from the operators' settings. */
    public FairShare(PriorityWeights weights) {
        this.weights = weights;
    }

    /** Returns P, the weight of a priority. */
    public double weight(Priority priority) {
        return switch (priority) {
            case CRITICAL -> weights.critical();
            case HIGH -> weights.high();
            case STANDARD -> weights.standard();
            case BEST_EFFORT -> weights.bestEffort();
        };
    }

    /**
     * Returns the weighted workforce of a job, a number without a unit.
     *
     * @param hasDeadline whether the job has a deadline
     * @param totalTasks T, the number of the job's tasks
     * @param unfinishedTasks L, the number of tasks that are running or have not yet started
     * @param runningTasks R, the number of tasks that are running
     */
    public double share(Priority priority, boolean hasDeadline, int totalTasks, int unfinishedTasks, int runningTasks) {
        double scale = 1.0 / (weight(priority) * totalTasks);
        return hasDeadline ? scale * logSum(totalTasks, unfinishedTasks, runningTasks) : scale * runningTasks;
    }

    /** Returns the sum of {@code ln((T + L - i) / T)} for i from 0 to R - 1. */
    static double logSum(int totalTasks, int unfinishedTasks, int runningTasks) {
        if (runningTasks <= 0) {
            return 0;
        }
        double upper = (double) totalTasks + unfinishedTasks;
        return LogGamma.value(upper + 1)
                - LogGamma.value(upper - runningTasks + 1)
                - runningTasks * Math.log(totalTasks);
    }
}
