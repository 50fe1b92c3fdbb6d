package org.granitepath.coordination.config;

import org.granitepath.storage.JobSpec;

/**
 * Values that the operators choose, from their YAML file.
 *
 * @param leaderLeaseMicros how long the machines may hear nothing from a leader before another controller takes over
 * @param scaling how much unused capacity is kept
 * @param weights fair-share weights of the priorities
 * @param deferralShare share of the wait or finish objective of a class that may pass before its jobs use on-demand
 *     machines
 * @param gangHoldMicros how long freed capacity is held for a gang that does not fit yet
 * @param claimBlockSize minimum number of tasks of a job that are claimed ahead
 * @param maxStarvationMicros how long a job may have no running task before it stops yielding to other jobs
 * @param recoveryHoldMicros maximum time, after a change of leader, for which other work is held back in favor of
 *     services and work of the highest priority; 0 means that nothing is held back
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
    /** Jobs of many tasks are claimed in this many blocks. */
    private static final int BLOCKS_PER_WIDE_JOB = 6;
    /** Services of up to this many tasks are claimed completely when they are accepted. */
    private static final int MIN_FIRST_SERVICE_BLOCK_SIZE = 32;

    /** Returns the values that apply if the operators provide no file. */
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

    /** Returns these values with another {@link #recoveryHoldMicros}. */
    public Tuning withRecoveryHold(long newRecoveryHoldMicros) {
        return new Tuning(
                leaderLeaseMicros,
                scaling,
                weights,
                deferralShare,
                gangHoldMicros,
                claimBlockSize,
                maxStarvationMicros,
                newRecoveryHoldMicros);
    }

    /** Returns how many tasks of a job are claimed at its acceptance: all tasks of a gang, since they run together. */
    public int firstClaimBlockSize(JobSpec spec) {
        return spec.isGang()
                ? spec.tasks()
                : Math.min(
                        spec.tasks(),
                        spec.isService() ? Math.max(claimBlockSize, MIN_FIRST_SERVICE_BLOCK_SIZE) : claimBlockSize);
    }

    /**
     * Returns how many tasks of a job are claimed ahead after its acceptance. The size grows with the job, so that a
     * job of many tasks does not wait for a write to the store every few tasks.
     */
    public int nextClaimBlockSize(JobSpec spec) {
        return Math.max(claimBlockSize, spec.tasks() / BLOCKS_PER_WIDE_JOB);
    }
}
