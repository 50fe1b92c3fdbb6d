package org.granitepath.coordination;

import org.apache.commons.numbers.gamma.LogGamma;
import org.granitepath.bookkeeping.Rank;

/**
 * The paper's weighted workforce of a job, SDAFS: the next task goes to the job where this is lowest.
 *
 * <p>Best effort: {@code x = R / (P T)}. With a deadline: {@code x = 1/(P T) * sum over i below R of ln(1 + (L-i)/T)}.
 * The sum telescopes into a quotient of factorials, so it costs two evaluations of ln Gamma however large R is.
 */
public final class FairShare {
    private final double[] weights;

    public FairShare(Config.Tuning tuning) {
        weights = new double[] {
            tuning.criticalWeight(), tuning.highWeight(), tuning.standardWeight(), tuning.bestEffortWeight()
        };
    }

    public double weight(Rank rank) {
        return weights[rank.ordinal()];
    }

    /** @param total T, @param left L (running or not yet started), @param running R */
    public double share(Rank rank, boolean deadline, int total, int left, int running) {
        double scale = 1.0 / (weight(rank) * total);
        return deadline ? scale * logSum(total, left, running) : scale * running;
    }

    /** Sum of {@code ln((T + L - i) / T)} for i from 0 to R - 1. */
    static double logSum(int total, int left, int running) {
        if (running <= 0) {
            return 0;
        }
        double top = (double) total + left;
        return LogGamma.value(top + 1) - LogGamma.value(top - running + 1) - running * Math.log(total);
    }
}
