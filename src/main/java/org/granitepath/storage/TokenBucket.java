package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * Limits the rate of changes. Each change takes a token; tokens arrive at the present rate, and the bucket holds at
 * most the tokens of one second, or one token if that is more.
 */
final class TokenBucket {
    /** The lowest rate of an adaptive bucket, as a part of its share. */
    private static final double MIN_RATE_FRACTION = 0.03;
    /** The part of its share by which an adaptive bucket raises its rate after each answer other than a refusal. */
    private static final double RATE_STEP_FRACTION = 0.01;

    private final double sharePerSecond;
    private final RateControl control;
    /** The present rate, in tokens per second. */
    private double rate;

    private double tokens;
    private long refilledMicros;

    TokenBucket(double sharePerSecond, RateControl control, long nowMicros) {
        this.sharePerSecond = sharePerSecond;
        this.control = control;
        this.rate = sharePerSecond;
        this.tokens = sharePerSecond;
        this.refilledMicros = nowMicros;
    }

    /** Returns the highest rate, in tokens per second. */
    double sharePerSecond() {
        return sharePerSecond;
    }

    /** Returns the tokens as of the last refill, including fractions. */
    double tokens() {
        return tokens;
    }

    /** Adds the tokens that have arrived since the last refill. */
    void refill(long nowMicros) {
        tokens = Math.min(Math.max(1, rate), tokens + (nowMicros - refilledMicros) * rate / Micros.PER_SECOND);
        refilledMicros = nowMicros;
    }

    /** Returns whether there is a token for a change. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Returns the time from the last refill until there is a token; to be called only when there is none. */
    long microsUntilToken() {
        return (long) ((1 - tokens) * Micros.PER_SECOND / rate) + 1;
    }

    /** Takes one token for each change. The number of tokens may become negative. */
    void take(int changes) {
        tokens -= changes;
    }

    /** Adapts the rate to the outcome of a transaction, if the rate control is {@link RateControl#ADAPTIVE}. */
    void adaptRate(Outcome outcome) {
        if (control == RateControl.ADAPTIVE) {
            rate = outcome == Outcome.REFUSED
                    ? Math.max(MIN_RATE_FRACTION * sharePerSecond, rate / 2)
                    : Math.min(sharePerSecond, rate + RATE_STEP_FRACTION * sharePerSecond);
        }
    }
}
