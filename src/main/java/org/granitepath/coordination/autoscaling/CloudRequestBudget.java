package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.Micros;

/** Token bucket for requests to the cloud, which refuses callers that exceed its request rate. */
final class CloudRequestBudget {
    /** The remaining share is for the other controllers and for requests for machine types. */
    private static final double SHARE_OF_ALLOWED_RATE = 0.8;

    private final double requestsPerSecond;
    private double tokens = 1;
    private long refilledMicros;

    /**
     * Creates a budget that holds one request.
     *
     * @param allowedPerSecond maximum request rate for all controllers together
     */
    CloudRequestBudget(double allowedPerSecond, long nowMicros) {
        requestsPerSecond = allowedPerSecond * SHARE_OF_ALLOWED_RATE;
        refilledMicros = nowMicros;
    }

    /** Takes one request from the budget, and returns whether one was left. */
    boolean tryAcquire(long nowMicros) {
        double refill = (nowMicros - refilledMicros) * requestsPerSecond / Micros.PER_SECOND;
        tokens = Math.min(Math.max(1, requestsPerSecond), tokens + refill);
        refilledMicros = nowMicros;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
