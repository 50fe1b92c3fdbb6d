package org.granitepath.coordination.config;

import org.granitepath.storage.JobSpec;

/**
 * Operators' own choices, from the YAML file.
 *
 * @param leaderLeaseMicros how long the machines may be without a leader's sign before another takes over
 * @param deferralShare share of a class's wait or finish objective that may pass before it uses full-price machines
 * @param gangHoldMicros how long freed capacity is held for a gang that does not fit
 * @param claimBlockSize how many tasks of a job are claimed ahead, at least
 * @param maxStarvationMicros how long a job may be without any task before it no longer gives way to others
 * @param recoveryHoldMicros how long, after a change of leader, other work is held for services and work of the highest
 *     priority, at most; 0: not at all
 */
public record Tuning(
        long leaderLeaseMicros,
        ScalingPolicy scaling,
        PriorityWeights weights,
        double deferralShare,
        long gangHoldMicros,
        int claimBlockSize,
        long maxStarvationMicros,
        long recoveryHoldMicros) {
    private static final int BLOCKS_OF_A_WIDE_JOB = 6;
    private static final int WIDE_SERVICE = 32;

    /** What holds without a file of the operators. */
    public static Tuning defaults() {
        return new Tuning(
                3_000_000,
                new ScalingPolicy(0.5, 0.7, 0.08),
                new PriorityWeights(1000, 16, 4, 1),
                0.5,
                10_000_000,
                6,
                150_000_000,
                0);
    }

    /** The same choices with another hold. */
    public Tuning withRecoveryHold(long micros) {
        return new Tuning(
                leaderLeaseMicros,
                scaling,
                weights,
                deferralShare,
                gangHoldMicros,
                claimBlockSize,
                maxStarvationMicros,
                micros);
    }

    /** Tasks claimed with the acceptance: of work that runs together, all. */
    public int firstClaimBlockSize(JobSpec spec) {
        return spec.gang()
                ? spec.tasks()
                : Math.min(spec.tasks(), spec.service() ? Math.max(claimBlockSize, WIDE_SERVICE) : claimBlockSize);
    }

    /** Tasks claimed ahead later on: a wide job must not wait for a write every few tasks. */
    public int nextClaimBlockSize(JobSpec spec) {
        return Math.max(claimBlockSize, spec.tasks() / BLOCKS_OF_A_WIDE_JOB);
    }
}
