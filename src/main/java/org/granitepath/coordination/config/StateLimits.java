package org.granitepath.coordination.config;

/**
 * What the state service takes.
 *
 * @param writesPerSecond changes of keys
 * @param valueBytes the largest value
 * @param txnOps changes to one transaction
 */
public record StateLimits(double writesPerSecond, int valueBytes, int txnOps) {
    /**
     * What is within these limits and within others. Limits that will hold from some moment on are kept from the
     * beginning: the moment comes without notice, and a transaction that exceeds them would be refused.
     */
    public StateLimits within(StateLimits others) {
        return new StateLimits(
                Math.min(writesPerSecond, others.writesPerSecond),
                Math.min(valueBytes, others.valueBytes),
                Math.min(txnOps, others.txnOps));
    }
}
