package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.storage.Priority;
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
    private static final Simulation.Shape PRODUCTION =
            new Simulation.Shape(5, 40, 2 * SECOND, 13 * SECOND, 33 * SECOND, 150, 20, 6 * 1024, 8, 1_500);

    private static Simulation busyDeployment(long seed, Simulation.Shape shape) {
        Simulation s = new Simulation(seed, shape);
        s.nextLimits = NEXT;
        for (int i = 0; i < 60; i++) {
            s.users.submit(s.jobs.job(true, 6, Priority.CRITICAL, "free", false, true, false, 0, 0), -1);
        }
        for (int i = 0; i < 12; i++) {
            s.world.after(
                    (3 + 2L * i) * SECOND,
                    () -> s.users.submit(
                            s.jobs.job(false, 60, Priority.STANDARD, "free", true, false, false, 25 * SECOND, 0), -1));
        }
        return withJobs(s, 20, 150 * SECOND);
    }

    /** One controller after the other, then the limits change, and leaders that have to split values end as well. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void bothVersionsServeAndTheLimitsChange(long seed) {
        Simulation s = busyDeployment(seed, PRODUCTION);
        int[] largest = new int[1];
        s.world.after(39 * SECOND, () -> largest[0] = s.store.largestValue());
        for (int i = 0; i < s.names.size(); i++) {
            String node = s.names.get((int) (seed + i) % s.names.size());
            s.world.after((40 + 10L * i) * SECOND, () -> s.faults.upgrade(node, 4 * SECOND));
        }
        // One that dies before its turn comes back as it was, and may lead the others meanwhile.
        s.world.after(53 * SECOND, () -> s.faults.crash(s.leader(), 200_000));
        s.world.after(64 * SECOND, () -> s.faults.crash(s.leader(), SECOND));
        s.world.after(100 * SECOND, () -> s.store.lowerLimits(NEXT));
        s.world.after(115 * SECOND, () -> s.faults.crash(s.leader(), 2 * SECOND));
        s.world.after(130 * SECOND, () -> s.names.forEach(n -> s.faults.crash(n, 2 * SECOND)));
        s.run(140 * SECOND, 400 * SECOND);
        assertTrue(largest[0] > NEXT.valueBytes(), "no value of the former version is larger than the next limit");
        assertRulesAndAllDone(s);
        assertTrue(s.store.largestValue() <= NEXT.valueBytes(), s.store.largestValue() + " bytes");
    }

    /** The limits change while large values of the former version are still there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void largeValuesLeftByTheFormerVersion(long seed) {
        Simulation s = busyDeployment(seed, PRODUCTION);
        s.world.after(40 * SECOND, () -> {
            s.names.forEach(n -> s.faults.upgrade(n, SECOND));
            s.store.lowerLimits(NEXT);
        });
        s.world.after(46 * SECOND, () -> s.faults.crash(s.leader(), SECOND));
        s.run(60 * SECOND, 300 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(List.of(), s.rules.broken);
        assertTrue(s.store.largestValue() <= NEXT.valueBytes(), s.store.largestValue() + " bytes");
    }

    /** Values that hold more than one transaction may spread: they stay as they are, and work goes on beside them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void valuesTooLargeToBeSplitAtOnce(long seed) {
        Simulation s = busyDeployment(
                seed, new Simulation.Shape(5, 60, 2 * SECOND, 13 * SECOND, 33 * SECOND, 150, 20, 12 * 1024, 8, 1_500));
        s.world.after(40 * SECOND, () -> {
            s.names.forEach(n -> s.faults.upgrade(n, SECOND));
            s.store.lowerLimits(NEXT);
        });
        s.world.after(60 * SECOND, () -> s.faults.crash(s.leader(), SECOND));
        s.world.after(80 * SECOND, () -> s.names.forEach(n -> s.faults.crash(n, SECOND)));
        s.run(90 * SECOND, 400 * SECOND);
        assertRulesAndAllDone(s);
    }
}
