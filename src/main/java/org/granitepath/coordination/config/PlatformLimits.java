package org.granitepath.coordination.config;

/**
 * Limits that the platform sets for a controller.
 *
 * @param storeRequestsPerSecond maximum rate of requests to the store, for all controllers together
 * @param store limits that writes to the store must respect, both those in force now and those that take effect later
 * @param cloudRequestsPerSecond maximum rate of requests to the cloud, for all controllers together
 * @param maxConnections maximum number of sockets of this process
 */
public record PlatformLimits(
        double storeRequestsPerSecond, StoreLimits store, double cloudRequestsPerSecond, int maxConnections) {
    /**
     * Returns the maximum number of concurrent direct calls to machines. It is large enough that a few calls that hang
     * do not delay the calls to the rest of a large fleet.
     */
    public int maxConcurrentCalls() {
        return Math.max(8, maxConnections / 10);
    }

    /**
     * Returns the maximum number of machine connections that stay open between heartbeats. The remaining sockets are
     * for users, for peers and for the calls that this controller makes.
     */
    public int maxPersistentMachineConnections() {
        return Math.max(8, maxConnections / 2);
    }

    /**
     * Returns the maximum number of inbound connections that stay open, of machines and all other clients together.
     * Beyond it, the server closes a connection after its answer.
     */
    public int maxPersistentConnections() {
        return Math.max(16, maxConnections * 7 / 10);
    }

    /**
     * Returns the maximum number of connections that wait to be accepted. Such connections occupy sockets even while
     * the process is paused.
     */
    public int backlog() {
        return Math.max(16, maxConnections / 5);
    }
}
