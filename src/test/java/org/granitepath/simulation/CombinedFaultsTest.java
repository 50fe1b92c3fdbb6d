package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crowded;
import static org.granitepath.simulation.FaultScenarios.cutOf;
import static org.granitepath.simulation.FaultScenarios.leaderEnds;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.others;
import static org.granitepath.simulation.FaultScenarios.shapeOf;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two troubles that meet, one test for each meeting of docs/failure-modes.md. Each shows that its meeting came about,
 * and then that the rules held after each step.
 */
class CombinedFaultsTest {
    /** More work than capacity, urgent and not, over links on which packets are held up. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void overloadOverSlowLinksLeavesNobodyUnserved(long seed) {
        Simulation simulation = crowded(seed);
        withJobs(simulation, 30, 60 * SECOND);
        longWork(simulation, 4, 6, 20 * SECOND);

        simulation.after(20 * SECOND, () -> simulation.world.heldUp = 0.03);
        int[] waiting = new int[1];
        simulation.after(
                60 * SECOND,
                () -> waiting[0] = simulation.users.unfinishedBatches().size());
        simulation.after(90 * SECOND, () -> simulation.world.heldUp = 0);
        simulation.run(100 * SECOND, 700 * SECOND);

        assertTrue(waiting[0] > 5, "only " + waiting[0] + " jobs wait");
        assertRulesAndAllDone(simulation);
        simulation.rules.checkServed();
        assertRules(simulation);
    }

    /** A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workIsDoneWhenALeaderEndsWhileMachinesAreCutOrDeaf(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 5, 8, 60 * SECOND);

        String[] leader = new String[1];
        simulation.after(50 * SECOND, () -> {
            leader[0] = simulation.leader();
            List<SimWorker> all = simulation.cloud.workers();
            for (int i = 0; i < all.size(); i++) {
                if (i % 3 == 0) {
                    simulation.faults.cutMachine(all.get(i), World.Cut.HOLD, 40 * SECOND);
                } else if (i % 3 == 1) {
                    simulation.faults.deafen(all.get(i), 25 * SECOND);
                }
            }
            simulation.faults.crash(leader[0], 20 * SECOND);
        });
        simulation.after(60 * SECOND, () -> assertNotEquals(leader[0], simulation.leader()));
        simulation.run(95 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** Jobs bound to one zone, arrays too, lose machines. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsOfOneZoneStayThereWhenTheyLoseMachines(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 12; i++) {
            simulation.users.submit(simulation.jobs.oneZoneBatch(3 + i % 5, 25 * SECOND));
        }

        int[] lost = new int[1];
        for (int i = 0; i < 6; i++) {
            simulation.after((35 + 4 * i) * SECOND, () -> {
                SimWorker worker = simulation.anyWorker();
                lost[0] += worker != null && worker.runs().busy() ? 1 : 0;
                if (worker != null) {
                    worker.die();
                }
            });
        }
        leaderEnds(simulation, 45 * SECOND, 300_000);
        simulation.run(60 * SECOND, 400 * SECOND);

        assertTrue(lost[0] > 0, "no machine at work was lost");
        assertRulesAndAllDone(simulation);
    }

    /**
     * The same, when the machines are only cut off, all that hold a job, and the leader changes: its zone is
     * unconfirmed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsOfOneZoneStayThereWhileTheyAreUnconfirmed(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 6; i++) {
            simulation.users.submit(simulation.jobs.oneZoneBatch(21, 40 * SECOND));
        }

        int[] cut = new int[1];
        simulation.after(40 * SECOND, () -> {
            Set<String> hosts = new HashSet<>();
            simulation.rules.running().stream().limit(3).forEach(job -> hosts.addAll(simulation.rules.hostsOf(job)));
            cut[0] = hosts.size();
            simulation.cloud.workers().stream()
                    .filter(worker -> hosts.contains(worker.id))
                    .forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.HOLD, 10 * SECOND));
            simulation.faults.crash(simulation.leader(), 6 * SECOND);
        });
        simulation.run(60 * SECOND, 700 * SECOND);

        assertTrue(cut[0] > 2, cut[0] + " machines were cut off");
        assertRulesAndAllDone(simulation);
    }

    /**
     * The store refuses the leader alone, another controller confirms cancellations, and a second or two
     * later it is out for everybody for longer than cancel_s, while workers go on reporting to the leader. With some
     * seeds nobody tells it of the cancellations: only the bound on the time for which anyone may keep a lease alive
     * can end the tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void cancelledTasksEndWhenTheLeaderIsRefusedBeforeAnOutage(long seed) {
        Simulation simulation = simulation(seed);
        simulation.peersSendNoCancellations = seed > 2;
        List<JobSpec> jobs = longWork(simulation, 6, 8, 300 * SECOND);

        int[] confirmed = new int[1];
        int[] running = new int[1];
        int[] answered = new int[1];
        simulation.after(70 * SECOND, () -> {
            String leader = simulation.leader();
            running[0] = simulation.rules.running().size();
            simulation.store.refuse(leader, 14 * SECOND);
            jobs.forEach(job -> simulation.users.cancelAt(
                    others(simulation, leader).get(simulation.world.random.nextInt(4)), job.id()));
            simulation.after((1 + seed % 2) * SECOND, () -> {
                simulation.store.outage(simulation.shape.cancel() + 15 * SECOND);
                answered[0] = simulation.heartbeatsAccepted(leader);
            });
            simulation.after(9 * SECOND, () -> {
                confirmed[0] = simulation.rules.cancellationsTold();
                answered[0] = simulation.heartbeatsAccepted(leader) - answered[0];
            });
        });
        simulation.run(70 * SECOND + simulation.shape.cancel() + 20 * SECOND, 400 * SECOND);

        assertTrue(
                running[0] >= 10 && confirmed[0] >= 10,
                running[0] + " jobs ran, " + confirmed[0] + " cancellations confirmed");
        assertTrue(answered[0] > 5, "the leader answered " + answered[0] + " reports in the outage");
        assertRules(simulation);
    }

    /** The store answers slowly, refuses the leader alone and then everybody, while users cancel and ask. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationsHoldWhileTheStoreIsSlowThenRefusesThenIsAway(long seed) {
        Simulation simulation = withJobs(simulation(seed), 30, 100 * SECOND);
        longWork(simulation, 6, 6, 100 * SECOND);

        simulation.after(45 * SECOND, () -> simulation.world.heldUp = 0.05);
        simulation.after(60 * SECOND, () -> simulation.world.heldUp = 0);
        int[] told = new int[2];
        simulation.after(60 * SECOND, () -> {
            simulation.store.refuse(simulation.leader(), 12 * SECOND);
            told[0] = simulation.rules.cancellationsTold();
            simulation.users.cancelRunning(4, 0);
        });
        simulation.after(66 * SECOND, () -> {
            simulation.store.outage(simulation.shape.cancel() + 6 * SECOND);
            simulation.users.cancelRunning(3, 0);
            told[1] = simulation.rules.cancellationsTold();
        });
        simulation.run(70 * SECOND + simulation.shape.cancel() + 6 * SECOND, 600 * SECOND);

        assertTrue(told[1] > told[0], "nothing was cancelled while the leader was refused");
        assertRulesAndAllDone(simulation);
    }

    /** A zone with workers and a controller is cut off for longer than a lease, and jobs are cancelled meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void cancelledTasksEndInAZoneCutOffForLongerThanALease(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 6, 8, 70 * SECOND);

        int[] told = new int[1];
        simulation.after(
                50 * SECOND,
                () -> simulation.faults.cutZone(
                        seed % 3 == 0 ? simulation.zoneOf(simulation.leader()) : "south",
                        cutOf(seed),
                        simulation.shape.lease() + 12 * SECOND));
        simulation.after(53 * SECOND, () -> simulation.users.cancelRunning(5, 0));
        simulation.after(50 * SECOND + simulation.shape.lease(), () -> told[0] = simulation.rules.cancellationsTold());
        simulation.run(65 * SECOND + simulation.shape.lease(), 500 * SECOND);

        assertTrue(told[0] > 0, "nothing was cancelled in the cut");
        assertRulesAndAllDone(simulation);
    }

    /** All controllers are away for longer than a lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workGoesOnAfterAllControllersWereAwayForLongerThanALease(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 5, 6, 70 * SECOND);

        int[] left = {-1};
        simulation.after(
                50 * SECOND,
                () -> simulation.names.forEach(
                        node -> simulation.faults.crash(node, simulation.shape.lease() + 5 * SECOND)));
        simulation.after(
                54 * SECOND + simulation.shape.lease(),
                () -> left[0] = simulation.rules.running().size());
        simulation.run(57 * SECOND + simulation.shape.lease(), 400 * SECOND);

        assertEquals(0, left[0], "every lease ran out");
        assertRulesAndAllDone(simulation);
        simulation.rules.checkServed();
        assertRules(simulation);
    }

    /**
     * Jobs of two or three tasks end far apart, with a change of leader in between, and late progress of the
     * former one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsAreDoneWhenTheirTasksEndFarApart(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 15; i++) {
            simulation.users.submit(simulation.jobs.batch(2 + i % 2, (10 + 4 * i) * SECOND));
        }

        Set<String> leaders = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            simulation.after((28 + 9 * i) * SECOND, () -> {
                leaders.add(simulation.leader());
                simulation.store.lateWrites = 0.2;
                simulation.faults.crash(simulation.leader(), 5 * SECOND);
            });
        }
        simulation.after(65 * SECOND, () -> simulation.store.lateWrites = 0);
        simulation.run(78 * SECOND, 300 * SECOND);

        assertTrue(leaders.size() > 1, "one leader throughout");
        assertRulesAndAllDone(simulation);
    }

    /**
     * A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls
     * into that spell: what is cancelled and unconfirmed still counts.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aTeamStaysWithinItsLimitWhenTheLeaderChanges(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(simulation.jobs.limitedBatch(6, 40 * SECOND));
        }

        boolean[] met = new boolean[1];
        simulation.after(55 * SECOND, () -> {
            List<String> running = simulation.rules.running();
            Set<String> hosts = new HashSet<>();
            running.forEach(job -> hosts.addAll(simulation.rules.hostsOf(job)));
            met[0] = simulation.rules.usedBy("tight") == 12_000 && !hosts.isEmpty();
            simulation.cloud.workers().stream()
                    .filter(worker -> hosts.contains(worker.id))
                    .limit(2)
                    .forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.HOLD, 20 * SECOND));
            simulation.faults.crash(simulation.leader(), 10 * SECOND);
            simulation.after(2 * SECOND, () -> simulation.users.cancelRunning(2, 0));
            // Accepted in the new leader's own term, so nothing but the limit holds them back.
            for (int i = 0; i < 8; i++) {
                simulation.after(
                        4 * SECOND + i * SECOND / 2,
                        () -> simulation.users.submit(simulation.jobs.limitedBatch(3, 20 * SECOND)));
            }
        });
        simulation.run(80 * SECOND, 600 * SECOND);

        assertTrue(met[0], "the team was not at its limit");
        assertRulesAndAllDone(simulation);
    }

    /** Ten leaders in two minutes, also with an outage among them, and cancellations all the time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workIsDoneUnderTenLeadersInTwoMinutes(long seed) {
        Simulation simulation = withJobs(simulation(seed), 30, 120 * SECOND);
        longWork(simulation, 6, 4, 60 * SECOND);

        int[] changes = new int[1];
        for (int i = 0; i < 11; i++) {
            simulation.after((35 + 11 * i) * SECOND, () -> {
                String was = simulation.leader();
                if (simulation.world.random.nextBoolean()) {
                    simulation.faults.crash(was, 300_000 + simulation.world.random.nextInt(6_000_000));
                } else {
                    simulation.faults.cutFromPeersAndStore(was, World.Cut.HOLD, 9 * SECOND);
                }
                simulation.after(
                        10 * SECOND, () -> changes[0] += simulation.leader().equals(was) ? 0 : 1);
                simulation.users.cancelRunning(1, 0);
            });
        }
        simulation.after(90 * SECOND, () -> simulation.store.outage(20 * SECOND));
        simulation.run(160 * SECOND, 600 * SECOND);

        assertTrue(changes[0] >= 5, changes[0] + " changes of leader");
        assertRulesAndAllDone(simulation);
    }

    /** Controllers hand over and back, all end, and one returns, also within a second. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theOneThatReturnsAtOnceLeadsAfterAllHaveEnded(long seed) {
        Simulation simulation = withJobs(simulation(seed), 30, 80 * SECOND);
        simulation.world.lateCopies = 0.1;

        simulation.after(40 * SECOND, () -> {
            String first = simulation.leader();
            simulation.faults.crash(first, 400_000);
            leaderEnds(simulation, 6 * SECOND, 200_000);
            simulation.after(
                    12 * SECOND,
                    () -> simulation.names.forEach(
                            node -> simulation.faults.crash(node, node.equals(first) ? 100_000 : 25 * SECOND)));
            simulation.after(20 * SECOND, () -> assertEquals(first, simulation.leader()));
        });
        simulation.run(80 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /**
     * Work of which nothing is expected leaves full-price machines alone, but not for so long that it is left waiting
     * beside capacity that nobody else uses.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void deferrableWorkIsNotLeftWaitingBesideCapacity(long seed) {
        Simulation simulation =
                new Simulation(seed, shapeOf(seed).withControllers(3).withPerOffer(1));
        JobSpec like = simulation.jobs.job(false, 1, Priority.STANDARD, "free", false, false, false, 600 * SECOND, 0);
        simulation.users.submit(simulation.jobs.withCpu(like, 1, 9_000)); // holds a part of a full-price machine
        // Fills the spot machines, and asks for no others.
        simulation.users.submit(simulation.jobs.withoutDeadline(simulation.jobs.batch(30, 300 * SECOND)));
        JobSpec late = simulation.jobs.withoutDeadline(
                simulation.jobs.job(false, 2, Priority.BEST_EFFORT, "free", true, false, false, 20 * SECOND, 0));

        simulation.after(60 * SECOND, () -> simulation.users.submit(late));
        simulation.run(20 * SECOND, 400 * SECOND);

        assertTrue(simulation.rules.begunAfter(late.id()) > 30 * SECOND, "it found room at once");
        assertRules(simulation);
    }
}
