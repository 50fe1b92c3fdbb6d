package org.granitepath.coordination.config;

/**
 * What the store takes.
 *
 * @param writesPerSecond changes of keys
 * @param valueBytes the largest value
 * @param transactionChanges changes to one transaction
 */
public record StoreLimits(double writesPerSecond, int valueBytes, int transactionChanges) {
    /**
     * What is within these limits and within others. Limits that will hold from some moment on are kept from the
     * beginning: the moment comes without notice, and a transaction that exceeds them would be refused.
     */
    public StoreLimits strictest(StoreLimits others) {
        return new StoreLimits(
                Math.min(writesPerSecond, others.writesPerSecond),
                Math.min(valueBytes, others.valueBytes),
                Math.min(transactionChanges, others.transactionChanges));
    }
}
