package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.StoreLimits;

/**
 * Size limits for the values of the machine inventory and for the transactions that write them.
 *
 * @param partBytes the maximum size of a part, in bytes
 * @param partsPerTransaction the maximum number of parts that one transaction writes, unless it writes a split
 * @param maxPartsPerSplit the maximum number of parts into which an oversized part is split, which is limited because
 *     one transaction writes them all
 */
record InventoryLimits(int partBytes, int partsPerTransaction, int maxPartsPerSplit) {
    /**
     * The size limit of a part, even where the store allows larger values: every controller reads these values over and
     * over, so larger ones would only cost more.
     */
    private static final int MAX_PART_BYTES = 8 * 1024;

    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    /** Returns limits that keep within those of the store. */
    static InventoryLimits within(StoreLimits store) {
        int transactionChanges = store.transactionChanges();
        int partBytes = Math.min(store.valueBytes(), MAX_PART_BYTES);
        // One change of the transaction is reserved for the fencing token counter.
        int partsPerTransaction = Math.max(1, Math.min(transactionChanges - 1, MAX_TRANSACTION_BYTES / partBytes));
        return new InventoryLimits(partBytes, partsPerTransaction, transactionChanges);
    }
}
