package org.granitepath.coordination.config;

/**
 * Limits of the store.
 *
 * @param writesPerSecond maximum number of key changes per second
 * @param valueBytes maximum size of a value, in bytes
 * @param transactionChanges maximum number of changes in one transaction
 */
public record StoreLimits(double writesPerSecond, int valueBytes, int transactionChanges) {
    /**
     * Returns the stricter value of each limit in this object and in the other. The limits that the store will have
     * later are respected from the start: they take effect without notice, and the store then refuses a transaction
     * that exceeds them.
     */
    public StoreLimits strictest(StoreLimits other) {
        return new StoreLimits(
                Math.min(writesPerSecond, other.writesPerSecond),
                Math.min(valueBytes, other.valueBytes),
                Math.min(transactionChanges, other.transactionChanges));
    }
}
