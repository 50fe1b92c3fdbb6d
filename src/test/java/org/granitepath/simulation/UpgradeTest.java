package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.submitServices;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.config.StoreLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A new version replaces the version in production while both serve. Records and messages are the same in both, as
 * StoredFormatsTest verifies. The versions differ in the limits that they keep: the former version keeps to the present
 * limits of the store, the new one also to its future limits.
 */
class UpgradeTest {
    private static final long SECOND = Simulation.SECOND;
    private static final StoreLimits FUTURE_LIMITS = new StoreLimits(15, 2 * 1024, 4);
    /** Limits at which a value holds as many machines as in production, where rows and values are longer. */
    private static final SimulationConfig PRODUCTION_CONFIG = FaultScenarios.SHORT_LEASES
            .withMachinesPerOffer(40)
            .withRequestsPerSecond(150)
            .withWritesPerSecond(20)
            .withValueBytes(6 * 1024)
            .withTransactionChanges(8)
            .withMaxConnections(1_500);

    private static Simulation busyDeployment(long seed, SimulationConfig config) {
        Simulation simulation = new Simulation(seed, config);
        simulation.upgradedLimits = FUTURE_LIMITS;
        submitServices(simulation, 60, 6);
        for (int i = 0; i < 12; i++) {
            simulation.after(
                    (3 + 2L * i) * SECOND, () -> simulation.users.submit(simulation.jobs.batch(60, 25 * SECOND)));
        }
        return withRandomJobs(simulation, 20, 150 * SECOND);
    }

    /** Controllers are upgraded one by one, then the limits change, and leaders that have to split values crash. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void workCompletesWhileBothVersionsServeAndLimitsChange(long seed) {
        Simulation simulation = busyDeployment(seed, PRODUCTION_CONFIG);
        Observation<Integer> largestValueBefore = simulation.observe(39 * SECOND, simulation.store::largestValueLength);
        for (int i = 0; i < simulation.nodeNames.size(); i++) {
            String node = simulation.nodeNames.get((int) (seed + i) % simulation.nodeNames.size());
            simulation.after((40 + 10L * i) * SECOND, () -> simulation.faults.upgrade(node, 4 * SECOND));
        }
        // A controller that crashes before its upgrade restarts with the former version, and may become the leader.
        crashLeaderAfter(simulation, 53 * SECOND, 200_000);
        crashLeaderAfter(simulation, 64 * SECOND, SECOND);
        simulation.after(100 * SECOND, () -> simulation.store.lowerLimits(FUTURE_LIMITS));
        crashLeaderAfter(simulation, 115 * SECOND, 2 * SECOND);
        simulation.after(
                130 * SECOND, () -> simulation.nodeNames.forEach(node -> simulation.faults.crash(node, 2 * SECOND)));
        simulation.runWithLivenessChecks(140 * SECOND, 400 * SECOND);

        assertTrue(
                largestValueBefore.get() > FUTURE_LIMITS.valueBytes(),
                "no value of the former version is larger than the next limit");
        assertRulesAndAllDone(simulation);
        assertTrue(
                simulation.store.largestValueLength() <= FUTURE_LIMITS.valueBytes(),
                simulation.store.largestValueLength() + " bytes");
    }

    /** The limits change while the store still holds large values of the former version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void largeValuesOfTheFormerVersionAreSplit(long seed) {
        Simulation simulation = busyDeployment(seed, PRODUCTION_CONFIG);
        simulation.after(40 * SECOND, () -> {
            simulation.nodeNames.forEach(node -> simulation.faults.upgrade(node, SECOND));
            simulation.store.lowerLimits(FUTURE_LIMITS);
        });
        crashLeaderAfter(simulation, 46 * SECOND, SECOND);
        simulation.runWithLivenessChecks(60 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(List.of(), simulation.rules.violations());
        assertTrue(
                simulation.store.largestValueLength() <= FUTURE_LIMITS.valueBytes(),
                simulation.store.largestValueLength() + " bytes");
    }

    /** Values hold more than one transaction may split up. They stay as they are, and work continues nevertheless. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesWithValuesTooLargeToSplitAtOnce(long seed) {
        Simulation simulation =
                busyDeployment(seed, PRODUCTION_CONFIG.withMachinesPerOffer(60).withValueBytes(12 * 1024));
        simulation.after(40 * SECOND, () -> {
            simulation.nodeNames.forEach(node -> simulation.faults.upgrade(node, SECOND));
            simulation.store.lowerLimits(FUTURE_LIMITS);
        });
        crashLeaderAfter(simulation, 60 * SECOND, SECOND);
        simulation.after(
                80 * SECOND, () -> simulation.nodeNames.forEach(node -> simulation.faults.crash(node, SECOND)));
        simulation.runWithLivenessChecks(90 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
    }
}
