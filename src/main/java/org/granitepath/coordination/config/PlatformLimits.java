package org.granitepath.coordination.config;

/**
 * What the platform allows this controller.
 *
 * @param storeRequestsPerSecond requests to the store by all controllers together
 * @param store what writes to the store keep to, now and later
 * @param cloudRequestsPerSecond requests to the cloud by all controllers together
 * @param maxConnections sockets of this process
 */
public record PlatformLimits(
        double storeRequestsPerSecond, StoreLimits store, double cloudRequestsPerSecond, int maxConnections) {
    /** Direct calls to machines under way at once, so that some that hang don't hold up the rest of a large fleet. */
    public int maxConcurrentCalls() {
        return Math.max(8, maxConnections / 10);
    }

    /** Connections of machines that stay open between heartbeats; the rest is for users, peers and our own calls. */
    public int maxPersistentMachineConnections() {
        return Math.max(8, maxConnections / 2);
    }

    /** All connections held open from outside; beyond, each closes after its answer. */
    public int maxPersistentConnections() {
        return Math.max(16, maxConnections * 7 / 10);
    }

    /** Connections that wait to be accepted: while a process stands still they take sockets all the same. */
    public int backlog() {
        return Math.max(16, maxConnections / 5);
    }
}
