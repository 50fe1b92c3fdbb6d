package org.granitepath.storage;

/** How a write queue controls its rate when the store refuses its writes. */
public enum RateControl {
    /** Keeps a fixed rate, for writes that must not suffer from the writes of others. */
    FIXED,
    /**
     * Writes less when the store refuses writes, and more again when it does not (additive increase, multiplicative
     * decrease). This suits shares that add up to more than the budget, so that a single queue can use all of it.
     */
    ADAPTIVE
}
