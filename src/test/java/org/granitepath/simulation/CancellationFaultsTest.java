package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.LONG;
import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.SHORT;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.others;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cancellations that meet other faults: no task starts or goes on for too long after one is confirmed. */
class CancellationFaultsTest {
    /** 3. Cancellations, questions and repeated submissions meet the end of a job's last task. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void cancelledAtTheEnd(long seed) {
        Simulation s = withJobs(simulation(seed), 40, 60 * SECOND);
        s.cancelledAtEnd = 0.6;
        s.users.oddRequests(100 * SECOND);
        s.run(100 * SECOND, 400 * SECOND);
        assertTrue(s.users.doneTold > 2 && s.rules.cancellationsTold() > 2);
        assertTrue(
                s.users.unschedulableRefused > 20, s.users.unschedulableRefused + " jobs that can't run were refused");
        assertRulesAndAllDone(s);
    }

    /**
     * The same, when the leader's stops had not reached the zone's machines before: a zone lease keeper knows of the
     * cancellations as of its last read, so for it the bound is no help, and it has to stop the tasks itself.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledBeforeTheirZoneIsCutOff(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 6, 8, 200 * SECOND);
        int[] told = new int[1];
        s.world.after(60 * SECOND, () -> {
            String zone = s.zoneOf(s.leader()).equals("south") ? "north" : "south";
            s.cloud.workers().stream()
                    .filter(w -> w.zone.equals(zone))
                    .forEach(w -> s.faults.cut(s.leader(), w.id, World.Cut.DROP, 60 * SECOND));
            s.users.cancelRunning(10, 0);
            s.world.after(6 * SECOND, () -> {
                told[0] = s.rules.cancellationsTold();
                s.faults.cutZone(zone, World.Cut.DROP, 50 * SECOND);
            });
        });
        s.run(125 * SECOND, 900 * SECOND);
        assertEquals(10, told[0], "cancellations confirmed before the cut");
        assertRulesAndAllDone(s);
    }

    /**
     * 18. A leader loses the store and its peers, not its workers and users; jobs are cancelled through the
     * new one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledThroughTheNewLeader(long seed) {
        Simulation s = simulation(seed);
        List<JobSpec> jobs = longWork(s, 6, 8, 200 * SECOND);
        int[] told = new int[1];
        s.world.after(60 * SECOND, () -> {
            String former = s.leader();
            s.faults.cutFromPeersAndStore(former, seed % 2 == 0 ? World.Cut.HOLD : World.Cut.DROP, 70 * SECOND);
            s.world.after(6 * SECOND, () -> {
                String leader = s.leaderOtherThan(former);
                assertNotEquals(former, leader);
                // It can't reach any machine either: only leases can end what the former one keeps alive.
                others(s, former).forEach(n -> s.faults.cutFromWorkers(n, World.Cut.DROP, 64 * SECOND));
                jobs.stream().limit(9).forEach(j -> s.users.cancelAt(leader, j.id()));
            });
            s.world.after(12 * SECOND, () -> told[0] = s.rules.cancellationsTold());
        });
        s.run(135 * SECOND, 900 * SECOND);
        assertEquals(9, told[0], "cancellations confirmed by the new leader");
        assertRulesAndAllDone(s);
    }

    /**
     * A leader whose renewals get through while its reads don't can't see cancellations: its word on leases must end
     * all the same.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void renewalsGetThroughAndReadsDoNot(long seed) {
        Simulation s = simulation(seed);
        s.peersSendNoCancellations = true;
        List<JobSpec> jobs = longWork(s, 6, 6, 300 * SECOND);
        s.world.after(60 * SECOND, () -> {
            String leader = s.leader();
            s.store.blindFor(leader, 2 * s.shape.cancel());
            s.world.after(
                    2 * SECOND,
                    () -> jobs.forEach(j -> s.users.cancelAt(others(s, leader).get(0), j.id())));
        });
        s.run(60 * SECOND + 2 * s.shape.cancel(), 300 * SECOND);
        assertTrue(s.rules.cancellationsTold() >= 10);
        assertRules(s);
    }

    /** Machines hang with tasks of cancelled jobs, for less and for more than a lease, and the leader ends. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void machinesHangWithCancelledTasks(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 6, 8, 200 * SECOND);
        int[] hung = new int[1];
        s.world.after(60 * SECOND, () -> {
            hung[0] = s.users
                    .cancelRunning(8, seed < 3 ? 8 * SECOND : s.shape.lease() + 6 * SECOND)
                    .size();
            s.world.after(SECOND, () -> s.faults.crash(s.leader(), 300_000));
        });
        s.run(75 * SECOND + s.shape.lease(), 800 * SECOND);
        assertTrue(hung[0] > 4);
        assertRulesAndAllDone(s);
    }

    /**
     * A leader's reads lag, for less than it takes to count as out of contact, while others confirm cancellations of
     * jobs that it still starts tasks of. It is told by its peers, or, with odd seeds, the answer waits until it has
     * to stop.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledWhileTheLeadersReadsLag(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(5, 1));
        s.peersSendNoCancellations = seed % 2 == 1;
        longWork(s, 1, 40, 3 * SECOND);
        for (int i = 0; i < 8; i++) {
            s.world.after((30 + 6 * i) * SECOND, () -> {
                String leader = s.leader();
                s.store.blindFor(leader, 2_500_000);
                s.rules.running().stream()
                        .limit(6)
                        .forEach(j -> s.users.cancelAt(others(s, leader).get(0), j));
            });
        }
        s.run(85 * SECOND, 500 * SECOND);
        assertTrue(s.rules.cancellationsTold() > 10, s.rules.cancellationsTold() + " cancellations");
        assertRulesAndAllDone(s);
    }
}
