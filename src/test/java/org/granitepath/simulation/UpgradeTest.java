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
 * A new version replaces the one in production while both serve. Records and messages are the same in both, which
 * StoredFormatsTest pins; what differs is that the former keeps to the limits that the store has, and the new
 * one also to those that it will have.
 */
class UpgradeTest {
    private static final long SECOND = Simulation.SECOND;
    private static final StoreLimits NEXT = new StoreLimits(15, 2 * 1024, 4);
    /** As many machines to a value as the version in production puts there, whose rows and values are longer. */
    private static final SimulationConfig PRODUCTION = FaultScenarios.SHORT_LEASES
            .withMachinesPerOffer(40)
            .withRequestsPerSecond(150)
            .withWritesPerSecond(20)
            .withValueBytes(6 * 1024)
            .withTransactionChanges(8)
            .withMaxConnections(1_500);

    private static Simulation busyDeployment(long seed, SimulationConfig shape) {
        Simulation simulation = new Simulation(seed, shape);
        simulation.upgradedLimits = NEXT;
        submitServices(simulation, 60, 6);
        for (int i = 0; i < 12; i++) {
            simulation.after(
                    (3 + 2L * i) * SECOND, () -> simulation.users.submit(simulation.jobs.batch(60, 25 * SECOND)));
        }
        return withRandomJobs(simulation, 20, 150 * SECOND);
    }

    /** One controller after the other, then the limits change, and leaders that have to split values end as well. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void workCompletesWhileBothVersionsServeAndLimitsChange(long seed) {
        Simulation simulation = busyDeployment(seed, PRODUCTION);
        Observation<Integer> largest = simulation.observe(39 * SECOND, simulation.store::largestValueLength);
        for (int i = 0; i < simulation.nodeNames.size(); i++) {
            String node = simulation.nodeNames.get((int) (seed + i) % simulation.nodeNames.size());
            simulation.after((40 + 10L * i) * SECOND, () -> simulation.faults.upgrade(node, 4 * SECOND));
        }
        // One that dies before its turn comes back as it was, and may lead the others meanwhile.
        crashLeaderAfter(simulation, 53 * SECOND, 200_000);
        crashLeaderAfter(simulation, 64 * SECOND, SECOND);
        simulation.after(100 * SECOND, () -> simulation.store.lowerLimits(NEXT));
        crashLeaderAfter(simulation, 115 * SECOND, 2 * SECOND);
        simulation.after(
                130 * SECOND, () -> simulation.nodeNames.forEach(node -> simulation.faults.crash(node, 2 * SECOND)));
        simulation.runWithLivenessChecks(140 * SECOND, 400 * SECOND);

        assertTrue(largest.get() > NEXT.valueBytes(), "no value of the former version is larger than the next limit");
        assertRulesAndAllDone(simulation);
        assertTrue(
                simulation.store.largestValueLength() <= NEXT.valueBytes(),
                simulation.store.largestValueLength() + " bytes");
    }

    /** The limits change while large values of the former version are still there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void largeValuesOfTheFormerVersionAreSplit(long seed) {
        Simulation simulation = busyDeployment(seed, PRODUCTION);
        simulation.after(40 * SECOND, () -> {
            simulation.nodeNames.forEach(node -> simulation.faults.upgrade(node, SECOND));
            simulation.store.lowerLimits(NEXT);
        });
        crashLeaderAfter(simulation, 46 * SECOND, SECOND);
        simulation.runWithLivenessChecks(60 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(List.of(), simulation.rules.violations());
        assertTrue(
                simulation.store.largestValueLength() <= NEXT.valueBytes(),
                simulation.store.largestValueLength() + " bytes");
    }

    /** Values that hold more than one transaction may spread: they stay as they are, and work goes on beside them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesWithValuesTooLargeToSplitAtOnce(long seed) {
        Simulation simulation =
                busyDeployment(seed, PRODUCTION.withMachinesPerOffer(60).withValueBytes(12 * 1024));
        simulation.after(40 * SECOND, () -> {
            simulation.nodeNames.forEach(node -> simulation.faults.upgrade(node, SECOND));
            simulation.store.lowerLimits(NEXT);
        });
        crashLeaderAfter(simulation, 60 * SECOND, SECOND);
        simulation.after(
                80 * SECOND, () -> simulation.nodeNames.forEach(node -> simulation.faults.crash(node, SECOND)));
        simulation.runWithLivenessChecks(90 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
    }
}
