package org.granitepath.coordination.config;

/**
 * A team and what its tasks may use, in thousandths of a CPU or GPU.
 *
 * @param cpuGuaranteeMillis what its jobs need not wait for; 0: nothing. {@code gpuGuaranteeMillis} likewise
 * @param cpuLimitMillis what its tasks use at most; 0: no limit. {@code gpuLimitMillis} likewise
 */
public record Team(
        String name, long cpuGuaranteeMillis, long cpuLimitMillis, long gpuGuaranteeMillis, long gpuLimitMillis) {
    /** Whether the team is guaranteed anything. */
    public boolean hasGuarantee() {
        return cpuGuaranteeMillis > 0 || gpuGuaranteeMillis > 0;
    }
}
