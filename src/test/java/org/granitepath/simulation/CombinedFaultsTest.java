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
    /** 1. More work than capacity, urgent and not, over links on which packets are held up. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void overloadOverSlowLinks(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(5, 1));
        withJobs(s, 30, 60 * SECOND);
        longWork(s, 4, 6, 20 * SECOND);
        s.world.after(20 * SECOND, () -> s.world.heldUp = 0.03);
        int[] waiting = new int[1];
        s.world.after(
                60 * SECOND, () -> waiting[0] = s.users.unfinishedBatches().size());
        s.world.after(90 * SECOND, () -> s.world.heldUp = 0);
        s.run(100 * SECOND, 700 * SECOND);
        assertTrue(waiting[0] > 5, "only " + waiting[0] + " jobs wait");
        assertRulesAndAllDone(s);
        s.rules.checkServed();
        assertRules(s);
    }

    /** 2. A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void leaderEndsWhileMachinesAreCutOrDeaf(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 8, 60 * SECOND);
        String[] leader = new String[1];
        s.world.after(50 * SECOND, () -> {
            leader[0] = s.leader();
            List<SimWorker> all = s.cloud.workers();
            for (int i = 0; i < all.size(); i++) {
                if (i % 3 == 0) {
                    s.faults.cutMachine(all.get(i), World.Cut.HOLD, 40 * SECOND);
                } else if (i % 3 == 1) {
                    s.faults.deafen(all.get(i), 25 * SECOND);
                }
            }
            s.faults.crash(leader[0], 20 * SECOND);
        });
        s.world.after(60 * SECOND, () -> assertNotEquals(leader[0], s.leader()));
        s.run(95 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
    }

    /** 4. Jobs bound to one zone, arrays too, lose machines. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsOfOneZoneLoseMachines(long seed) {
        Simulation s = simulation(seed);
        for (int i = 0; i < 12; i++) {
            s.users.submit(
                    s.jobs.job(false, 3 + i % 5, Priority.STANDARD, "free", true, false, true, 25 * SECOND, 0), -1);
        }
        int[] lost = new int[1];
        for (int i = 0; i < 6; i++) {
            s.world.after((35 + 4 * i) * SECOND, () -> {
                SimWorker w = s.anyWorker();
                lost[0] += w != null && w.runs().busy() ? 1 : 0;
                if (w != null) {
                    w.die();
                }
            });
        }
        s.world.after(45 * SECOND, () -> s.faults.crash(s.leader(), 300_000));
        s.run(60 * SECOND, 400 * SECOND);
        assertTrue(lost[0] > 0, "no machine at work was lost");
        assertRulesAndAllDone(s);
    }

    /**
     * The same, when the machines are only cut off, all that hold a job, and the leader changes: its zone is
     * unconfirmed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsOfOneZoneUnconfirmed(long seed) {
        Simulation s = simulation(seed);
        for (int i = 0; i < 6; i++) {
            s.users.submit(s.jobs.job(false, 21, Priority.STANDARD, "free", true, false, true, 40 * SECOND, 0), -1);
        }
        int[] cut = new int[1];
        s.world.after(40 * SECOND, () -> {
            Set<String> hosts = new HashSet<>();
            s.rules.running().stream().limit(3).forEach(j -> hosts.addAll(s.rules.hostsOf(j)));
            cut[0] = hosts.size();
            s.cloud.workers().stream()
                    .filter(w -> hosts.contains(w.id))
                    .forEach(w -> s.faults.cutMachine(w, World.Cut.HOLD, 10 * SECOND));
            s.faults.crash(s.leader(), 6 * SECOND);
        });
        s.run(60 * SECOND, 700 * SECOND);
        assertTrue(cut[0] > 2, cut[0] + " machines were cut off");
        assertRulesAndAllDone(s);
    }

    /**
     * 6. The store refuses the leader alone, another controller confirms cancellations, and a second or two
     * later it is out for everybody for longer than cancel_s, while workers go on reporting to the leader. With some
     * seeds nobody tells it of the cancellations: only the bound on the time for which anyone may keep a lease alive
     * can end the tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void leaderRefusedThenOutage(long seed) {
        Simulation s = simulation(seed);
        s.peersSendNoCancellations = seed > 2;
        List<JobSpec> jobs = longWork(s, 6, 8, 300 * SECOND);
        int[] confirmed = new int[1];
        int[] running = new int[1];
        int[] answered = new int[1];
        s.world.after(70 * SECOND, () -> {
            String leader = s.leader();
            running[0] = s.rules.running().size();
            s.store.refuse(leader, 14 * SECOND);
            jobs.forEach(j -> s.users.cancelAt(others(s, leader).get(s.world.random.nextInt(4)), j.id()));
            s.world.after((1 + seed % 2) * SECOND, () -> {
                s.store.outage(s.shape.cancel() + 15 * SECOND);
                answered[0] = s.heartbeatsAccepted(leader);
            });
            s.world.after(9 * SECOND, () -> {
                confirmed[0] = s.rules.cancellationsTold();
                answered[0] = s.heartbeatsAccepted(leader) - answered[0];
            });
        });
        s.run(70 * SECOND + s.shape.cancel() + 20 * SECOND, 400 * SECOND);
        assertTrue(
                running[0] >= 10 && confirmed[0] >= 10,
                running[0] + " jobs ran, " + confirmed[0] + " cancellations confirmed");
        assertTrue(answered[0] > 5, "the leader answered " + answered[0] + " reports in the outage");
        assertRules(s);
    }

    /** 7. The store answers slowly, refuses the leader alone and then everybody, while users cancel and ask. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void slowThenRefusedThenOutage(long seed) {
        Simulation s = withJobs(simulation(seed), 30, 100 * SECOND);
        longWork(s, 6, 6, 100 * SECOND);
        s.world.after(45 * SECOND, () -> s.world.heldUp = 0.05);
        s.world.after(60 * SECOND, () -> s.world.heldUp = 0);
        int[] told = new int[2];
        s.world.after(60 * SECOND, () -> {
            s.store.refuse(s.leader(), 12 * SECOND);
            told[0] = s.rules.cancellationsTold();
            s.users.cancelRunning(4, 0);
        });
        s.world.after(66 * SECOND, () -> {
            s.store.outage(s.shape.cancel() + 6 * SECOND);
            s.users.cancelRunning(3, 0);
            told[1] = s.rules.cancellationsTold();
        });
        s.run(70 * SECOND + s.shape.cancel() + 6 * SECOND, 600 * SECOND);
        assertTrue(told[1] > told[0], "nothing was cancelled while the leader was refused");
        assertRulesAndAllDone(s);
    }

    /** 8. A zone with workers and a controller is cut off for longer than a lease, and jobs are cancelled meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void zoneCutOffForLongerThanALease(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 6, 8, 70 * SECOND);
        int[] told = new int[1];
        s.world.after(
                50 * SECOND,
                () -> s.faults.cutZone(
                        seed % 3 == 0 ? s.zoneOf(s.leader()) : "south",
                        seed % 2 == 0 ? World.Cut.HOLD : World.Cut.DROP,
                        s.shape.lease() + 12 * SECOND));
        s.world.after(53 * SECOND, () -> s.users.cancelRunning(5, 0));
        s.world.after(50 * SECOND + s.shape.lease(), () -> told[0] = s.rules.cancellationsTold());
        s.run(65 * SECOND + s.shape.lease(), 500 * SECOND);
        assertTrue(told[0] > 0, "nothing was cancelled in the cut");
        assertRulesAndAllDone(s);
    }

    /** 9. All controllers are away for longer than a lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersAwayForLongerThanALease(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 6, 70 * SECOND);
        int[] left = {-1};
        s.world.after(50 * SECOND, () -> s.names.forEach(n -> s.faults.crash(n, s.shape.lease() + 5 * SECOND)));
        s.world.after(
                54 * SECOND + s.shape.lease(), () -> left[0] = s.rules.running().size());
        s.run(57 * SECOND + s.shape.lease(), 400 * SECOND);
        assertEquals(0, left[0], "every lease ran out");
        assertRulesAndAllDone(s);
        s.rules.checkServed();
        assertRules(s);
    }

    /**
     * 10. Jobs of two or three tasks end far apart, with a change of leader in between, and late progress of the
     * former one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tasksOfOneJobEndFarApart(long seed) {
        Simulation s = simulation(seed);
        for (int i = 0; i < 15; i++) {
            s.users.submit(
                    s.jobs.job(
                            false, 2 + i % 2, Priority.STANDARD, "free", true, false, false, (10 + 4 * i) * SECOND, 0),
                    -1);
        }
        Set<String> leaders = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            s.world.after((28 + 9 * i) * SECOND, () -> {
                leaders.add(s.leader());
                s.store.lateWrites = 0.2;
                s.faults.crash(s.leader(), 5 * SECOND);
            });
        }
        s.world.after(65 * SECOND, () -> s.store.lateWrites = 0);
        s.run(78 * SECOND, 300 * SECOND);
        assertTrue(leaders.size() > 1, "one leader throughout");
        assertRulesAndAllDone(s);
    }

    /**
     * 11. A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls
     * into that spell: what is cancelled and unconfirmed still counts.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void teamAtItsLimitWhenTheLeaderChanges(long seed) {
        Simulation s = simulation(seed);
        for (int i = 0; i < 8; i++) {
            s.users.submit(s.jobs.job(false, 6, Priority.STANDARD, "tight", true, false, false, 40 * SECOND, 0), -1);
        }
        boolean[] met = new boolean[1];
        s.world.after(55 * SECOND, () -> {
            List<String> running = s.rules.running();
            Set<String> hosts = new HashSet<>();
            running.forEach(j -> hosts.addAll(s.rules.hostsOf(j)));
            met[0] = s.rules.usedBy("tight") == 12_000 && !hosts.isEmpty();
            s.cloud.workers().stream()
                    .filter(w -> hosts.contains(w.id))
                    .limit(2)
                    .forEach(w -> s.faults.cutMachine(w, World.Cut.HOLD, 20 * SECOND));
            s.faults.crash(s.leader(), 10 * SECOND);
            s.world.after(2 * SECOND, () -> s.users.cancelRunning(2, 0));
            // Accepted in the new leader's own term, so nothing but the limit holds them back.
            for (int i = 0; i < 8; i++) {
                s.world.after(
                        4 * SECOND + i * SECOND / 2,
                        () -> s.users.submit(
                                s.jobs.job(false, 3, Priority.STANDARD, "tight", true, false, false, 20 * SECOND, 0),
                                -1));
            }
        });
        s.run(80 * SECOND, 600 * SECOND);
        assertTrue(met[0], "the team was not at its limit");
        assertRulesAndAllDone(s);
    }

    /** 12. Ten leaders in two minutes, also with an outage among them, and cancellations all the time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tenLeadersInTwoMinutes(long seed) {
        Simulation s = withJobs(simulation(seed), 30, 120 * SECOND);
        longWork(s, 6, 4, 60 * SECOND);
        int[] changes = new int[1];
        for (int i = 0; i < 11; i++) {
            s.world.after((35 + 11 * i) * SECOND, () -> {
                String was = s.leader();
                if (s.world.random.nextBoolean()) {
                    s.faults.crash(was, 300_000 + s.world.random.nextInt(6_000_000));
                } else {
                    s.faults.cutFromPeersAndStore(was, World.Cut.HOLD, 9 * SECOND);
                }
                s.world.after(10 * SECOND, () -> changes[0] += s.leader().equals(was) ? 0 : 1);
                s.users.cancelRunning(1, 0);
            });
        }
        s.world.after(90 * SECOND, () -> s.store.outage(20 * SECOND));
        s.run(160 * SECOND, 600 * SECOND);
        assertTrue(changes[0] >= 5, changes[0] + " changes of leader");
        assertRulesAndAllDone(s);
    }

    /** 13. Controllers hand over and back, all end, and one returns, also within a second. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allEndAndOneReturnsAtOnce(long seed) {
        Simulation s = withJobs(simulation(seed), 30, 80 * SECOND);
        s.world.lateCopies = 0.1;
        s.world.after(40 * SECOND, () -> {
            String first = s.leader();
            s.faults.crash(first, 400_000);
            s.world.after(6 * SECOND, () -> s.faults.crash(s.leader(), 200_000));
            s.world.after(
                    12 * SECOND,
                    () -> s.names.forEach(n -> s.faults.crash(n, n.equals(first) ? 100_000 : 25 * SECOND)));
            s.world.after(20 * SECOND, () -> assertEquals(first, s.leader()));
        });
        s.run(80 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
    }

    /**
     * Work of which nothing is expected leaves full-price machines alone, but not for so long that it is left waiting
     * beside capacity that nobody else uses.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void deferrableWorkIsNotLeftWaitingBesideCapacity(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(3, 1));
        JobSpec like = s.jobs.job(false, 1, Priority.STANDARD, "free", false, false, false, 600 * SECOND, 0);
        s.users.submit(s.jobs.withCpu(like, 1, 9_000), -1); // holds a part of a full-price machine
        // Fills the spot machines, and asks for no others.
        s.users.submit(
                s.jobs.withoutDeadline(
                        s.jobs.job(false, 30, Priority.STANDARD, "free", true, false, false, 300 * SECOND, 0)),
                -1);
        JobSpec late = s.jobs.withoutDeadline(
                s.jobs.job(false, 2, Priority.BEST_EFFORT, "free", true, false, false, 20 * SECOND, 0));
        s.world.after(60 * SECOND, () -> s.users.submit(late, -1));
        s.run(20 * SECOND, 400 * SECOND);
        assertTrue(s.rules.begunAfter(late.id()) > 30 * SECOND, "it found room at once");
        assertRules(s);
    }
}
