package org.granitepath.simulation;

/**
 * A deployment that is simulated. Whoever needs another one takes {@link #small} and names what differs.
 *
 * @param machinesPerOffer how many machines of each type, zone and kind there are
 */
record SimulationConfig(int controllers, int machinesPerOffer, Timing timing, Limits limits) {
    private static final long SECOND = Simulation.SECOND;

    /** How often machines send heartbeats, how long their leases are, and how long cancelled tasks may go on. */
    record Timing(long heartbeatIntervalMicros, long leaseMicros, long cancellationTimeoutMicros) {}

    /** What the store takes, and how many connections a controller may hold. */
    record Limits(
            double requestsPerSecond,
            double writesPerSecond,
            int valueBytes,
            int transactionChanges,
            int maxConnections) {}

    /** Three controllers, a few machines that send a heartbeat every second, and a store with capacity to spare. */
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
