package org.granitepath.simulation;

/** Limits requests and changes per second with token buckets that allow bursts of one second. */
final class SimRateLimiter {
    private final double requestsPerSecond;
    private double writesPerSecond;
    private double requestTokens;
    private double writeTokens;
    private long lastRefillMicros;

    SimRateLimiter(double requestsPerSecond, double writesPerSecond) {
        this.requestsPerSecond = requestsPerSecond;
        this.writesPerSecond = writesPerSecond;
        this.requestTokens = requestsPerSecond;
        this.writeTokens = writesPerSecond;
    }

    void setWritesPerSecond(double nextPerSecond) {
        writesPerSecond = nextPerSecond;
    }

    /** Takes the tokens of a request with this many changes; returns false and takes none if there are too few. */
    boolean tryAcquire(long nowMicros, int changes) {
        double elapsedSeconds = (nowMicros - lastRefillMicros) / 1e6;
        lastRefillMicros = nowMicros;
        requestTokens = Math.min(requestsPerSecond, requestTokens + elapsedSeconds * requestsPerSecond) - 1;
        writeTokens = Math.min(writesPerSecond, writeTokens + elapsedSeconds * writesPerSecond) - changes;
        boolean tooFast = requestTokens < 0 || writeTokens < 0;
        if (tooFast) {
            requestTokens += 1;
            writeTokens += changes;
        }
        return !tooFast;
    }
}
