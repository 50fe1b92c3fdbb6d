package org.granitepath.coordination.scheduling;

import org.apache.commons.numbers.gamma.LogGamma;
import org.granitepath.coordination.config.PriorityWeights;
import org.granitepath.storage.Priority;

/**
 * The weighted workforce of a job as in D. Difallah et al., "Deadline-Aware Fair Scheduling for Multi-Tenant
 * Crowd-Powered Systems", sections 3 and 4.6, in the simplified variant SDAFS: the next task goes to the job where it
 * is lowest. A batch of the paper is a job here, a crowd worker is capacity for one task.
 *
 * <p>With P the weight of the priority, T the job's tasks, L those that are not done and R those that run:
 *
 * <ul>
 *   <li>best effort: {@code x = R / (P T)}
 *   <li>with a deadline: {@code x = 1/(P T) * sum over i below R of ln(1 + (L-i)/T)}
 * </ul>
 *
 * <p>The sum telescopes into a quotient of factorials, so it costs two evaluations of ln Gamma however large R is.
 */
public final class FairShare {
    private final PriorityWeights weights;

    /** Takes the weights of the priorities from the operators' settings. */
    public FairShare(PriorityWeights weights) {
        this.weights = weights;
    }

    /** P, the weight of a priority. */
    public double weight(Priority priority) {
        return switch (priority) {
            case CRITICAL -> weights.critical();
            case HIGH -> weights.high();
            case STANDARD -> weights.standard();
            case BEST_EFFORT -> weights.bestEffort();
        };
    }

    /**
     * The weighted workforce of a job, a number without a unit.
     *
     * @param deadline whether the job has a deadline
     * @param total T, the number of its tasks
     * @param left L, those that are running or have not yet started
     * @param running R, those that are running
     */
    public double share(Priority priority, boolean deadline, int total, int left, int running) {
        double scale = 1.0 / (weight(priority) * total);
        return deadline ? scale * logSum(total, left, running) : scale * running;
    }

    /** Sum of {@code ln((T + L - i) / T)} for i from 0 to R - 1. */
    static double logSum(int total, int left, int running) {
        if (running <= 0) {
            return 0;
        }
        double upper = (double) total + left;
        return LogGamma.value(upper + 1) - LogGamma.value(upper - running + 1) - running * Math.log(total);
    }
}
