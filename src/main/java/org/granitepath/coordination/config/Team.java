package org.granitepath.coordination.config;

/**
 * A team with its guaranteed quota and its limit, both in thousandths of a CPU or GPU.
 *
 * @param cpuGuaranteeMillis CPU quota for which the jobs of the team need not wait; 0 if there is none
 * @param cpuLimitMillis maximum CPU that the tasks of the team use together; 0 if there is no limit
 * @param gpuGuaranteeMillis GPU quota for which the jobs of the team need not wait; 0 if there is none
 * @param gpuLimitMillis maximum GPU that the tasks of the team use together; 0 if there is no limit
 */
public record Team(
        String name, long cpuGuaranteeMillis, long cpuLimitMillis, long gpuGuaranteeMillis, long gpuLimitMillis) {
    /** Returns whether the team has a guaranteed quota of CPUs or of GPUs. */
    public boolean hasGuarantee() {
        return cpuGuaranteeMillis > 0 || gpuGuaranteeMillis > 0;
    }
}
