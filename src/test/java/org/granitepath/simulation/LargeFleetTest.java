package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** The largest fleets: the rules hold throughout, and the numbers of requests and calls stay within bounds. */
class LargeFleetTest {
    private static final long SECOND = Simulation.SECOND;

    /** 1,700 machines with a heartbeat every five seconds, and few writes to the store. */
    @Test
    void rulesHoldWithSeventeenHundredMachines() {
        runThroughFaults(
                new Simulation(
                        1,
                        FaultScenarios.LONG_LEASES
                                .withMachinesPerOffer(213)
                                .withHeartbeatInterval(5 * SECOND)
                                .withMaxConnections(1_519)),
                1_500);
    }

    /** Fewer machines, with a heartbeat every two seconds, and short leases. */
    @Test
    void rulesHoldWithSevenHundredMachinesAndFrequentHeartbeats() {
        runThroughFaults(
                new Simulation(
                        2, FaultScenarios.SHORT_LEASES.withMachinesPerOffer(97).withMaxConnections(2_257)),
                700);
    }

    /**
     * All controllers of four thousand machines crash at once. Each heartbeat is compared with the records once,
     * whatever the size of the fleet, and the requests to the store stay within its limits.
     */
    @Test
    void fourThousandMachinesRecoverAfterColdRestart() {
        Simulation simulation = RecoveryLoad.fleet(3, RecoveryLoad.Size.LARGE);
        Observation<Long> running = new Observation<>();
        Observation<Integer> refusalsBefore = new Observation<>();
        simulation.after(RecoveryLoad.RESTART_MICROS, () -> {
            running.set(simulation.rules.runningTaskCount());
            refusalsBefore.set(simulation.store.rateLimitedRequestCount());
            simulation.faults.crashAll(SECOND);
        });
        simulation.run(RecoveryLoad.RESTART_MICROS + 30 * SECOND);

        RecoveryStatus status = simulation.recoveryStatus();
        assertEquals(RecoveryPhase.RECOVERED, status.phase());
        assertTrue(
                status.term().machines().takenOver() >= 4_000,
                status.term().machines().takenOver() + " machines");
        assertTrue(running.get() >= 10_000, running.get() + " tasks");
        // Each machine sends about eight heartbeats in that time, each of which lists the tasks that run there.
        assertTrue(
                status.term().comparisonCount() < 12L * running.get(),
                status.term().comparisonCount() + " comparisons of " + running.get() + " tasks");
        int refusals = simulation.store.rateLimitedRequestCount() - refusalsBefore.get();
        assertTrue(refusals < 150, refusals + " requests exceeded the rate limit");
        assertTrue(
                simulation.maxConcurrentCalls <= simulation.config.maxConnections() / 6,
                simulation.maxConcurrentCalls + " calls to machines at once");
        assertEquals(0, simulation.store.oversizedTransactionCount(), "a transaction or a value over its limit");
        simulation.run(RecoveryLoad.RESTART_MICROS + 90 * SECOND);

        assertEquals(
                List.of(),
                simulation.rules.violations().stream().distinct().limit(5).toList());
    }

    /** A leader pauses, a zone is cut off while a leader crashes, and then all controllers crash at once. */
    private static void runThroughFaults(Simulation simulation, int machines) {
        List<JobSpec> services = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            services.add(simulation.jobs.service(6));
            simulation.users.submit(services.get(i));
        }
        for (int i = 0; i < 40; i++) {
            simulation.after(
                    3 * SECOND + 3L * i * SECOND / 2,
                    () -> simulation.users.submit(simulation.jobs.batch(machines / 4, 60 * SECOND)));
        }
        Observation<Integer> machinesUp =
                simulation.observe(70 * SECOND, () -> simulation.cloud.workers().size());
        simulation.after(70 * SECOND, () -> simulation.faults.pause(simulation.leader(), 33 * SECOND));
        simulation.after(
                112 * SECOND,
                () -> simulation.faults.partitionZone("south", SimEnvironment.PartitionMode.HOLD, 30 * SECOND));
        crashLeaderAfter(simulation, 118 * SECOND, 300_000);
        simulation.after(
                160 * SECOND,
                () -> simulation.nodeNames.forEach(node ->
                        simulation.faults.crash(node, 300_000 + simulation.environment.random.nextInt(4_000_000))));
        simulation.runWithLivenessChecks(170 * SECOND, 400 * SECOND);

        assertEquals(
                List.of(),
                simulation.rules.violations().stream().distinct().limit(5).toList());
        assertTrue(machinesUp.get() >= machines, "only " + machinesUp.get() + " machines");
        assertEquals(List.of(), simulation.users.unfinishedBatchJobs());
        simulation.rules.checkServed();
        assertEquals(List.of(), simulation.rules.violations());
        assertEquals(0, simulation.store.oversizedTransactionCount(), "a transaction or a value over its limit");
        assertTrue(
                simulation.store.rateLimitedRequestCount() < simulation.store.requestCount() / 20,
                simulation.store.rateLimitedRequestCount() + " of " + simulation.store.requestCount()
                        + " requests exceeded the rate limit");
        assertTrue(
                simulation.maxConcurrentCalls <= simulation.config.maxConnections() / 6,
                simulation.maxConcurrentCalls + " calls to machines at once");
        int busy = simulation.cloud.terminatedWhileBusy().size();
        assertTrue(busy < machines / 50, busy + " machines returned with tasks on them");
    }
}
