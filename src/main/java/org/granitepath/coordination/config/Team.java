package org.granitepath.coordination.config;

/**
 * A team and what its tasks may use, in thousandths of a CPU or GPU.
 *
 * @param cpuGuarantee what its jobs need not wait for; 0: nothing. {@code gpuGuarantee} likewise
 * @param cpuLimit what its tasks use at most; 0: no limit. {@code gpuLimit} likewise
 */
public record Team(String name, long cpuGuarantee, long cpuLimit, long gpuGuarantee, long gpuLimit) {
    /** Whether the team is guaranteed anything. */
    public boolean hasGuarantee() {
        return cpuGuarantee > 0 || gpuGuarantee > 0;
    }
}
