package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/** Limits the rate of changes: each takes a token, and tokens come at the present rate, up to one second's worth. */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Least part of the share that an adaptive bucket falls back to. */
    private static final double LEAST_RATE = 0.03;
    /** Part of the share that an adaptive bucket takes up again with each answer that is no refusal. */
    private static final double RATE_STEP = 0.01;

    private final double sharePerSecond;
    private final RateControl control;
    /** Tokens a second at present. */
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

    /** The highest rate. */
    double sharePerSecond() {
        return sharePerSecond;
    }

    /** Whole and partial tokens as of the last refill. */
    double tokens() {
        return tokens;
    }

    void refill(long nowMicros) {
        tokens = Math.min(Math.max(1, rate), tokens + (nowMicros - refilledMicros) * rate / MICROS_PER_SECOND);
        refilledMicros = nowMicros;
    }

    /** Whether there is a token for a change. */
    boolean allowsOne() {
        return tokens >= 1;
    }

    /** How long from the last refill until there is a token, when there is none. */
    long microsUntilOne() {
        return (long) ((1 - tokens) * MICROS_PER_SECOND / rate) + 1;
    }

    void take(int changes) {
        tokens -= changes;
    }

    /** Adapts the rate to how a transaction ended. */
    void adapt(Outcome outcome) {
        if (control == RateControl.ADAPTIVE) {
            rate = outcome == Outcome.REFUSED
                    ? Math.max(LEAST_RATE * sharePerSecond, rate / 2)
                    : Math.min(sharePerSecond, rate + RATE_STEP * sharePerSecond);
        }
    }
}
