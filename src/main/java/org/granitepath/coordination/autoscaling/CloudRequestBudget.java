package org.granitepath.coordination.autoscaling;

/** A token bucket of requests to the cloud: the cloud refuses callers that exceed its request rate. */
final class CloudRequestBudget {
    /** The rest is left to the other controllers, and to requests for machine types. */
    private static final double SHARE_OF_ALLOWED_RATE = 0.8;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double requestsPerSecond;
    private double tokens = 1;
    private long refilledMicros;

    /** Holds one request at first; {@code allowedPerSecond} is the rate for all controllers together. */
    CloudRequestBudget(double allowedPerSecond, long nowMicros) {
        requestsPerSecond = allowedPerSecond * SHARE_OF_ALLOWED_RATE;
        refilledMicros = nowMicros;
    }

    /** Takes one request from the budget; false when there is none left. */
    boolean tryTake(long nowMicros) {
        double refill = (nowMicros - refilledMicros) * requestsPerSecond / MICROS_PER_SECOND;
        tokens = Math.min(Math.max(1, requestsPerSecond), tokens + refill);
        refilledMicros = nowMicros;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
