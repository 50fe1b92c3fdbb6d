package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.StoreLimits;

/**
 * How large the values of the machine inventory and the transactions on them may become.
 *
 * @param partBytes the largest part, in bytes
 * @param partsAtOnce the most parts that one transaction writes, splits aside
 * @param mostPartsOfSplit into how many parts a large one may be split, since one transaction writes them all
 */
record InventoryLimits(int partBytes, int partsAtOnce, int mostPartsOfSplit) {
    /** Larger values would only be read over and over by every controller. */
    private static final int MOST_PART_BYTES = 8 * 1024;

    private static final int MOST_TRANSACTION_BYTES = 48 * 1024;

    /** Within what the store takes. */
    static InventoryLimits within(StoreLimits store) {
        int transactionChanges = store.transactionChanges();
        int partBytes = Math.min(store.valueBytes(), MOST_PART_BYTES);
        // One change is left for the counter of fencing tokens.
        int partsAtOnce = Math.max(1, Math.min(transactionChanges - 1, MOST_TRANSACTION_BYTES / partBytes));
        return new InventoryLimits(partBytes, partsAtOnce, transactionChanges);
    }
}
