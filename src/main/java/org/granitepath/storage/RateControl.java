package org.granitepath.storage;

/** What a write queue does with its rate when the store refuses its writes. */
public enum RateControl {
    /** Keeps to its share: for writes that must not suffer from those of others. */
    FIXED,
    /**
     * Writes less when the store refuses, and more again when it does not (additive increase, multiplicative decrease):
     * for shares that add up to more than there is, so that one alone can use it.
     */
    ADAPTIVE
}
