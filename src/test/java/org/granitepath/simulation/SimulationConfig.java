package org.granitepath.simulation;

/**
 * The size, timing and limits of a simulated deployment. Scenarios start with {@link #small} and change what they need.
 *
 * @param controllers how many controllers there are
 * @param machinesPerOffer the capacity of the cloud, in machines per type, zone and price model
 */
record SimulationConfig(int controllers, int machinesPerOffer, Timing timing, Limits limits) {
    private static final long SECOND = Simulation.SECOND;

    /** The heartbeat interval and the lease of machines, and how long tasks may run after a confirmed cancellation. */
    record Timing(long heartbeatIntervalMicros, long leaseMicros, long cancellationTimeoutMicros) {}

    /**
     * The limits of the store and of controllers.
     *
     * @param valueBytes the size limit of a value in the store
     * @param transactionChanges how many changes a transaction may have
     * @param maxConnections how many connections a controller may hold
     */
    record Limits(
            double requestsPerSecond,
            double writesPerSecond,
            int valueBytes,
            int transactionChanges,
            int maxConnections) {}

    /** Three controllers, a few machines with a heartbeat interval of one second, and a store with spare capacity. */
    static SimulationConfig small() {
        return new SimulationConfig(
                3, 5, new Timing(SECOND, Simulation.LEASE_MICROS, 31 * SECOND), new Limits(1000, 200, 2048, 8, 1_000));
    }

    SimulationConfig withControllers(int count) {
        return new SimulationConfig(count, machinesPerOffer, timing, limits);
    }

    SimulationConfig withMachinesPerOffer(int machines) {
        return new SimulationConfig(controllers, machines, timing, limits);
    }

    SimulationConfig withHeartbeatInterval(long micros) {
        return withTiming(new Timing(micros, timing.leaseMicros, timing.cancellationTimeoutMicros));
    }

    SimulationConfig withLease(long micros) {
        return withTiming(new Timing(timing.heartbeatIntervalMicros, micros, timing.cancellationTimeoutMicros));
    }

    SimulationConfig withCancellationTimeout(long micros) {
        return withTiming(new Timing(timing.heartbeatIntervalMicros, timing.leaseMicros, micros));
    }

    SimulationConfig withRequestsPerSecond(double requests) {
        return withLimits(new Limits(
                requests, limits.writesPerSecond, limits.valueBytes, limits.transactionChanges, limits.maxConnections));
    }

    SimulationConfig withWritesPerSecond(double writes) {
        return withLimits(new Limits(
                limits.requestsPerSecond, writes, limits.valueBytes, limits.transactionChanges, limits.maxConnections));
    }

    SimulationConfig withValueBytes(int bytes) {
        return withLimits(new Limits(
                limits.requestsPerSecond,
                limits.writesPerSecond,
                bytes,
                limits.transactionChanges,
                limits.maxConnections));
    }

    SimulationConfig withTransactionChanges(int changes) {
        return withLimits(new Limits(
                limits.requestsPerSecond, limits.writesPerSecond, limits.valueBytes, changes, limits.maxConnections));
    }

    SimulationConfig withMaxConnections(int connections) {
        return withLimits(new Limits(
                limits.requestsPerSecond,
                limits.writesPerSecond,
                limits.valueBytes,
                limits.transactionChanges,
                connections));
    }

    private SimulationConfig withTiming(Timing newTiming) {
        return new SimulationConfig(controllers, machinesPerOffer, newTiming, limits);
    }

    private SimulationConfig withLimits(Limits newLimits) {
        return new SimulationConfig(controllers, machinesPerOffer, timing, newLimits);
    }

    long heartbeatIntervalMicros() {
        return timing.heartbeatIntervalMicros;
    }

    long leaseMicros() {
        return timing.leaseMicros;
    }

    long cancellationTimeoutMicros() {
        return timing.cancellationTimeoutMicros;
    }

    int maxConnections() {
        return limits.maxConnections;
    }
}
