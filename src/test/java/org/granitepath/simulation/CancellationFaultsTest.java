package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crowded;
import static org.granitepath.simulation.FaultScenarios.cutOf;
import static org.granitepath.simulation.FaultScenarios.leaderEnds;
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
    /** Cancellations, questions and repeated submissions meet the end of a job's last task. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsCancelledAtTheirEndHaveOneOutcome(long seed) {
        Simulation simulation = withJobs(simulation(seed), 40, 60 * SECOND);
        simulation.cancelledAtEnd = 0.6;
        simulation.users.oddRequests(100 * SECOND);

        simulation.run(100 * SECOND, 400 * SECOND);

        assertTrue(simulation.users.doneTold > 2 && simulation.rules.cancellationsTold() > 2);
        assertTrue(
                simulation.users.unschedulableRefused > 20,
                simulation.users.unschedulableRefused + " jobs that can't run were refused");
        assertRulesAndAllDone(simulation);
    }

    /**
     * The same, when the leader's stops had not reached the zone's machines before: a zone lease keeper knows of the
     * cancellations as of its last read, so for it the bound is no help, and it has to stop the tasks itself.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tasksCancelledBeforeTheirZoneIsCutOffEnd(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 6, 8, 200 * SECOND);

        int[] told = new int[1];
        simulation.after(60 * SECOND, () -> {
            String zone = simulation.zoneOf(simulation.leader()).equals("south") ? "north" : "south";
            simulation.cloud.workers().stream()
                    .filter(worker -> worker.zone.equals(zone))
                    .forEach(worker ->
                            simulation.faults.cut(simulation.leader(), worker.id, World.Cut.DROP, 60 * SECOND));
            simulation.users.cancelRunning(10, 0);
            simulation.after(6 * SECOND, () -> {
                told[0] = simulation.rules.cancellationsTold();
                simulation.faults.cutZone(zone, World.Cut.DROP, 50 * SECOND);
            });
        });
        simulation.run(125 * SECOND, 900 * SECOND);

        assertEquals(10, told[0], "cancellations confirmed before the cut");
        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader loses the store and its peers, not its workers and users; jobs are cancelled through the
     * new one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tasksCancelledThroughTheNewLeaderEndAtTheFormerOne(long seed) {
        Simulation simulation = simulation(seed);
        List<JobSpec> jobs = longWork(simulation, 6, 8, 200 * SECOND);

        int[] told = new int[1];
        simulation.after(60 * SECOND, () -> {
            String former = simulation.leader();
            simulation.faults.cutFromPeersAndStore(former, cutOf(seed), 70 * SECOND);
            simulation.after(6 * SECOND, () -> {
                String leader = simulation.leaderOtherThan(former);
                assertNotEquals(former, leader);
                // It can't reach any machine either: only leases can end what the former one keeps alive.
                others(simulation, former)
                        .forEach(node -> simulation.faults.cutFromWorkers(node, World.Cut.DROP, 64 * SECOND));
                jobs.stream().limit(9).forEach(job -> simulation.users.cancelAt(leader, job.id()));
            });
            simulation.after(12 * SECOND, () -> told[0] = simulation.rules.cancellationsTold());
        });
        simulation.run(135 * SECOND, 900 * SECOND);

        assertEquals(9, told[0], "cancellations confirmed by the new leader");
        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader whose renewals get through while its reads don't can't see cancellations: its word on leases must end
     * all the same.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndWhenRenewalsGetThroughAndReadsDoNot(long seed) {
        Simulation simulation = simulation(seed);
        simulation.peersSendNoCancellations = true;
        List<JobSpec> jobs = longWork(simulation, 6, 6, 300 * SECOND);

        simulation.after(60 * SECOND, () -> {
            String leader = simulation.leader();
            simulation.store.blindFor(leader, 2 * simulation.shape.cancel());
            simulation.after(
                    2 * SECOND,
                    () -> jobs.forEach(job ->
                            simulation.users.cancelAt(others(simulation, leader).get(0), job.id())));
        });
        simulation.run(60 * SECOND + 2 * simulation.shape.cancel(), 300 * SECOND);

        assertTrue(simulation.rules.cancellationsTold() >= 10);
        assertRules(simulation);
    }

    /** Machines hang with tasks of cancelled jobs, for less and for more than a lease, and the leader ends. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndOnMachinesThatHang(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 6, 8, 200 * SECOND);

        int[] hung = new int[1];
        simulation.after(60 * SECOND, () -> {
            hung[0] = simulation
                    .users
                    .cancelRunning(8, seed < 3 ? 8 * SECOND : simulation.shape.lease() + 6 * SECOND)
                    .size();
            leaderEnds(simulation, SECOND, 300_000);
        });
        simulation.run(75 * SECOND + simulation.shape.lease(), 800 * SECOND);

        assertTrue(hung[0] > 4);
        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader's reads lag, for less than it takes to count as out of contact, while others confirm cancellations of
     * jobs that it still starts tasks of. It is told by its peers, or, with odd seeds, the answer waits until it has
     * to stop.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void nothingCancelledStartsWhileTheLeadersReadsLag(long seed) {
        Simulation simulation = crowded(seed);
        simulation.peersSendNoCancellations = seed % 2 == 1;
        longWork(simulation, 1, 40, 3 * SECOND);

        for (int i = 0; i < 8; i++) {
            simulation.after((30 + 6 * i) * SECOND, () -> {
                String leader = simulation.leader();
                simulation.store.blindFor(leader, 2_500_000);
                simulation.rules.running().stream()
                        .limit(6)
                        .forEach(job -> simulation.users.cancelAt(
                                others(simulation, leader).get(0), job));
            });
        }
        simulation.run(85 * SECOND, 500 * SECOND);

        assertTrue(simulation.rules.cancellationsTold() > 10, simulation.rules.cancellationsTold() + " cancellations");
        assertRulesAndAllDone(simulation);
    }
}
