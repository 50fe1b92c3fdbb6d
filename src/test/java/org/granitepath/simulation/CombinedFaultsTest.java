package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.Priority;
import org.granitepath.coordination.Heartbeat;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two troubles that meet, one test for each meeting of docs/failure-modes.md. Each shows that its meeting came about,
 * and then that the rules held after each step.
 */
class CombinedFaultsTest {
    private static final long SECOND = Simulation.SECOND;
    /** Long leases and little time beside them; then short ones, and reports that come often. */
    private static final Simulation.Shape LONG =
            new Simulation.Shape(5, 4, 3 * SECOND, 27 * SECOND, 52 * SECOND, 150, 18, 8 * 1024, 8, 1_500);

    private static final Simulation.Shape SHORT =
            new Simulation.Shape(5, 4, 2 * SECOND, 13 * SECOND, 33 * SECOND, 300, 90, 32 * 1024, 16, 2_000);

    private static Simulation simulation(long seed) {
        return new Simulation(seed, seed % 2 == 0 ? LONG : SHORT);
    }

    /** Services and wide jobs with long tasks, so that whatever happens meets work that runs. */
    private static List<JobSpec> longWork(Simulation s, int services, int batches, long runMicros) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            jobs.add(s.job(true, 4, Priority.CRITICAL, "free", false, true, false, 0, 0));
        }
        for (int i = 0; i < batches; i++) {
            jobs.add(s.job(false, 10, Priority.STANDARD, "free", true, false, false, runMicros, 0));
        }
        jobs.forEach(j -> s.submit(j, -1));
        return jobs;
    }

    private static List<String> others(Simulation s, String node) {
        return s.names.stream().filter(n -> !n.equals(node)).toList();
    }

    /** 1. More work than room, urgent and not, over links on which packets are held up. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void overloadOverSlowLinks(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(5, 1));
        withJobs(s, 30, 60 * SECOND);
        longWork(s, 4, 6, 20 * SECOND);
        s.world.after(20 * SECOND, () -> s.world.heldUp = 0.03);
        int[] waiting = new int[1];
        s.world.after(60 * SECOND, () -> waiting[0] = s.unfinishedBatches().size());
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
                    s.cutMachine(all.get(i), World.Cut.HOLD, 40 * SECOND);
                } else if (i % 3 == 1) {
                    s.deafen(all.get(i), 25 * SECOND);
                }
            }
            s.crash(leader[0], 20 * SECOND);
        });
        s.world.after(60 * SECOND, () -> assertNotEquals(leader[0], s.leader()));
        s.run(95 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
    }

    /** 3. Cancellations, questions and repeated submissions meet the end of a job's last task. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void cancelledAtTheEnd(long seed) {
        Simulation s = withJobs(simulation(seed), 40, 60 * SECOND);
        s.cancelledAtEnd = 0.6;
        s.oddRequests(100 * SECOND);
        s.run(100 * SECOND, 400 * SECOND);
        assertTrue(s.doneTold > 2 && s.rules.cancellationsTold() > 2);
        assertTrue(s.unschedulableRefused > 20, s.unschedulableRefused + " jobs that can't run were refused");
        assertRulesAndAllDone(s);
    }

    /** 4. Jobs bound to one zone, arrays too, lose machines. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsOfOneZoneLoseMachines(long seed) {
        Simulation s = simulation(seed);
        for (int i = 0; i < 12; i++) {
            s.submit(s.job(false, 3 + i % 5, Priority.STANDARD, "free", true, false, true, 25 * SECOND, 0), -1);
        }
        int[] lost = new int[1];
        for (int i = 0; i < 6; i++) {
            s.world.after((35 + 4 * i) * SECOND, () -> {
                SimWorker w = s.anyWorker();
                lost[0] += w != null && w.busy() ? 1 : 0;
                if (w != null) {
                    w.die();
                }
            });
        }
        s.world.after(45 * SECOND, () -> s.crash(s.leader(), 300_000));
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
            s.submit(s.job(false, 21, Priority.STANDARD, "free", true, false, true, 40 * SECOND, 0), -1);
        }
        int[] cut = new int[1];
        s.world.after(40 * SECOND, () -> {
            Set<String> hosts = new HashSet<>();
            s.rules.running().stream().limit(3).forEach(j -> hosts.addAll(s.rules.hostsOf(j)));
            cut[0] = hosts.size();
            s.cloud.workers().stream()
                    .filter(w -> hosts.contains(w.id))
                    .forEach(w -> s.cutMachine(w, World.Cut.HOLD, 10 * SECOND));
            s.crash(s.leader(), 6 * SECOND);
        });
        s.run(60 * SECOND, 700 * SECOND);
        assertTrue(cut[0] > 2, cut[0] + " machines were cut off");
        assertRulesAndAllDone(s);
    }

    /** 5. Transactions without an answer are carried out late, after newer ones of the same controller. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void transactionsAreCarriedOutLate(long seed) {
        Simulation s = withJobs(simulation(seed), 40, 100 * SECOND);
        s.world.after(10 * SECOND, () -> s.state.lateWrites = 0.3);
        for (int i = 0; i < 4; i++) {
            s.world.after(
                    (30 + 20 * i) * SECOND, () -> s.crash(s.leader(), 300_000 + s.world.random.nextInt(4_000_000)));
        }
        s.world.after(120 * SECOND, () -> s.state.lateWrites = 0);
        s.run(135 * SECOND, 500 * SECOND);
        assertTrue(s.state.lateSuccesses > 0, "no late transaction went in");
        assertRulesAndAllDone(s);
    }

    /**
     * 6. The state service refuses the leader alone, another controller confirms cancellations, and a second or two
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
            s.state.refuse(leader, 14 * SECOND);
            jobs.forEach(j -> s.cancelAt(others(s, leader).get(s.world.random.nextInt(4)), j.id()));
            s.world.after((1 + seed % 2) * SECOND, () -> {
                s.state.outage(s.shape.cancel() + 15 * SECOND);
                answered[0] = s.reportsAccepted(leader);
            });
            s.world.after(9 * SECOND, () -> {
                confirmed[0] = s.rules.cancellationsTold();
                answered[0] = s.reportsAccepted(leader) - answered[0];
            });
        });
        s.run(70 * SECOND + s.shape.cancel() + 20 * SECOND, 400 * SECOND);
        assertTrue(
                running[0] >= 10 && confirmed[0] >= 10,
                running[0] + " jobs ran, " + confirmed[0] + " cancellations confirmed");
        assertTrue(answered[0] > 5, "the leader answered " + answered[0] + " reports in the outage");
        assertRules(s);
    }

    /** 7. The state service answers slowly, refuses the leader alone and then everybody, while users cancel and ask. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void slowThenRefusedThenOutage(long seed) {
        Simulation s = withJobs(simulation(seed), 30, 100 * SECOND);
        longWork(s, 6, 6, 100 * SECOND);
        s.world.after(45 * SECOND, () -> s.world.heldUp = 0.05);
        s.world.after(60 * SECOND, () -> s.world.heldUp = 0);
        int[] told = new int[2];
        s.world.after(60 * SECOND, () -> {
            s.state.refuse(s.leader(), 12 * SECOND);
            told[0] = s.rules.cancellationsTold();
            s.cancelRunning(4, 0);
        });
        s.world.after(66 * SECOND, () -> {
            s.state.outage(s.shape.cancel() + 6 * SECOND);
            s.cancelRunning(3, 0);
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
                () -> s.cutZone(
                        seed % 3 == 0 ? s.zoneOf(s.leader()) : "south",
                        seed % 2 == 0 ? World.Cut.HOLD : World.Cut.DROP,
                        s.shape.lease() + 12 * SECOND));
        s.world.after(53 * SECOND, () -> s.cancelRunning(5, 0));
        s.world.after(50 * SECOND + s.shape.lease(), () -> told[0] = s.rules.cancellationsTold());
        s.run(65 * SECOND + s.shape.lease(), 500 * SECOND);
        assertTrue(told[0] > 0, "nothing was cancelled in the cut");
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
                    .forEach(w -> s.cut(s.leader(), w.id, World.Cut.DROP, 60 * SECOND));
            s.cancelRunning(10, 0);
            s.world.after(6 * SECOND, () -> {
                told[0] = s.rules.cancellationsTold();
                s.cutZone(zone, World.Cut.DROP, 50 * SECOND);
            });
        });
        s.run(125 * SECOND, 900 * SECOND);
        assertEquals(10, told[0], "cancellations confirmed before the cut");
        assertRulesAndAllDone(s);
    }

    /** 9. All controllers are away for longer than a lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersAwayForLongerThanALease(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 6, 70 * SECOND);
        int[] left = {-1};
        s.world.after(50 * SECOND, () -> s.names.forEach(n -> s.crash(n, s.shape.lease() + 5 * SECOND)));
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
            s.submit(
                    s.job(false, 2 + i % 2, Priority.STANDARD, "free", true, false, false, (10 + 4 * i) * SECOND, 0),
                    -1);
        }
        Set<String> leaders = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            s.world.after((28 + 9 * i) * SECOND, () -> {
                leaders.add(s.leader());
                s.state.lateWrites = 0.2;
                s.crash(s.leader(), 5 * SECOND);
            });
        }
        s.world.after(65 * SECOND, () -> s.state.lateWrites = 0);
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
            s.submit(s.job(false, 6, Priority.STANDARD, "tight", true, false, false, 40 * SECOND, 0), -1);
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
                    .forEach(w -> s.cutMachine(w, World.Cut.HOLD, 20 * SECOND));
            s.crash(s.leader(), 10 * SECOND);
            s.world.after(2 * SECOND, () -> s.cancelRunning(2, 0));
            // Accepted in the new leader's own term, so nothing but the limit holds them back.
            for (int i = 0; i < 8; i++) {
                s.world.after(
                        4 * SECOND + i * SECOND / 2,
                        () -> s.submit(
                                s.job(false, 3, Priority.STANDARD, "tight", true, false, false, 20 * SECOND, 0), -1));
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
                    s.crash(was, 300_000 + s.world.random.nextInt(6_000_000));
                } else {
                    s.cutFromPeersAndState(was, World.Cut.HOLD, 9 * SECOND);
                }
                s.world.after(10 * SECOND, () -> changes[0] += s.leader().equals(was) ? 0 : 1);
                s.cancelRunning(1, 0);
            });
        }
        s.world.after(90 * SECOND, () -> s.state.outage(20 * SECOND));
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
            s.crash(first, 400_000);
            s.world.after(6 * SECOND, () -> s.crash(s.leader(), 200_000));
            s.world.after(12 * SECOND, () -> s.names.forEach(n -> s.crash(n, n.equals(first) ? 100_000 : 25 * SECOND)));
            s.world.after(20 * SECOND, () -> assertEquals(first, s.leader()));
        });
        s.run(80 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
    }

    /**
     * 14. Workers can't open connections to any controller, while direct commands still reach them; the leader
     * changes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void muteMachinesAndANewLeader(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 8, 40 * SECOND);
        int[] muted = new int[1];
        s.world.after(
                45 * SECOND,
                () -> s.cloud.workers().stream().filter(w -> w.busy()).limit(6).forEach(w -> {
                    muted[0]++;
                    s.mute(w, s.shape.lease() + 10 * SECOND);
                }));
        s.world.after(48 * SECOND, () -> s.crash(s.leader(), 5 * SECOND));
        s.world.after(50 * SECOND, () -> s.cancelRunning(3, 0));
        s.run(60 * SECOND + s.shape.lease(), 400 * SECOND);
        assertTrue(muted[0] > 2, muted[0] + " machines at work fell mute");
        assertRulesAndAllDone(s);
    }

    /** 15. Reports are held back until a new leader has acted, and then arrive there and at the former one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void reportsOfBeforeArriveAtTheNewLeader(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 8, 20 * SECOND);
        int[] met = new int[2];
        s.world.after(45 * SECOND, () -> {
            int fencingTokens = s.state.writesOf(Keys.FENCING_TOKEN);
            String former = s.leader();
            List<Heartbeat> held =
                    s.cloud.workers().stream().map(SimWorker::latest).toList();
            s.crash(former, 300_000);
            s.world.after(9 * SECOND, () -> {
                met[0] = held.size();
                met[1] = s.state.writesOf(Keys.FENCING_TOKEN) - fencingTokens;
                held.forEach(b -> s.names.forEach(n -> s.deliver(n, b)));
            });
            s.world.after(3 * s.shape.lease(), () -> held.forEach(s::deliver));
        });
        s.run(50 * SECOND + 3 * s.shape.lease(), 400 * SECOND);
        assertTrue(
                met[0] > 2 && met[1] > 0, met[0] + " reports held back, " + met[1] + " fencing tokens drawn meanwhile");
        assertRulesAndAllDone(s);
    }

    /** 16. Old reports arrive after newer ones, also of earlier sessions and attempts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void reportsOfEarlierSessionsAndAttempts(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 10, 15 * SECOND);
        int[] delivered = new int[1];
        for (int i = 0; i < 8; i++) {
            s.world.after((30 + 6 * i) * SECOND, () -> {
                SimWorker w = s.anyWorker();
                Heartbeat old = w == null ? null : w.latest();
                if (old == null) {
                    return;
                }
                w.hangFor(s.shape.lease() + 3 * SECOND);
                for (int k = 1; k < 5; k++) {
                    s.world.after(k * s.shape.lease() / 2, () -> {
                        delivered[0]++;
                        s.deliver(old);
                    });
                }
            });
        }
        s.world.after(60 * SECOND, () -> s.crash(s.leader(), 300_000));
        s.run(80 * SECOND + 2 * s.shape.lease(), 500 * SECOND);
        assertTrue(delivered[0] > 10, delivered[0] + " old reports");
        assertRulesAndAllDone(s);
    }

    /** 17. Commands and their answers are held up for seconds, machines hang and go on, and jobs are cancelled. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void commandsHeldUpWhileMachinesHang(long seed) {
        Simulation s = withJobs(simulation(seed), 30, 80 * SECOND);
        longWork(s, 4, 6, 40 * SECOND);
        s.world.after(25 * SECOND, () -> s.world.heldUp = 0.08);
        for (int i = 0; i < 6; i++) {
            s.world.after(
                    (35 + 8 * i) * SECOND, () -> s.cancelRunning(2, 6 * SECOND + s.world.random.nextInt(30_000_000)));
        }
        s.world.after(85 * SECOND, () -> s.world.heldUp = 0);
        s.run(125 * SECOND, 500 * SECOND);
        assertTrue(s.rules.cancellationsTold() > 5);
        assertRulesAndAllDone(s);
    }

    /**
     * 18. A leader loses the state service and its peers, not its workers and users; jobs are cancelled through the
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
            s.cutFromPeersAndState(former, seed % 2 == 0 ? World.Cut.HOLD : World.Cut.DROP, 70 * SECOND);
            s.world.after(6 * SECOND, () -> {
                String leader = s.leaderOtherThan(former);
                assertNotEquals(former, leader);
                // It can't reach any machine either: only leases can end what the former one keeps alive.
                others(s, former).forEach(n -> s.cutFromWorkers(n, World.Cut.DROP, 64 * SECOND));
                jobs.stream().limit(9).forEach(j -> s.cancelAt(leader, j.id()));
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
            s.state.blindFor(leader, 2 * s.shape.cancel());
            s.world.after(
                    2 * SECOND,
                    () -> jobs.forEach(j -> s.cancelAt(others(s, leader).get(0), j.id())));
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
            hung[0] = s.cancelRunning(8, seed < 3 ? 8 * SECOND : s.shape.lease() + 6 * SECOND)
                    .size();
            s.world.after(SECOND, () -> s.crash(s.leader(), 300_000));
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
                s.state.blindFor(leader, 2_500_000);
                s.rules.running().stream()
                        .limit(6)
                        .forEach(j -> s.cancelAt(others(s, leader).get(0), j));
            });
        }
        s.run(85 * SECOND, 500 * SECOND);
        assertTrue(s.rules.cancellationsTold() > 10, s.rules.cancellationsTold() + " cancellations");
        assertRulesAndAllDone(s);
    }

    /**
     * Direct starts are held up while the leader's writes are refused, so that it can't draw new fencing tokens, and
     * jobs are cancelled: later calls to the same machines, which hold stops alone, are answered. Their answers were
     * once taken for those of the starts.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void startsHeldUpAndLaterCallsAnswered(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(5, 1));
        longWork(s, 2, 16, 25 * SECOND);
        int[] told = new int[1];
        s.world.after(40 * SECOND, () -> {
            s.state.refuseWritesOf(s.leader(), 15 * SECOND);
            s.heldStarts = 7 * SECOND;
            told[0] = s.rules.cancellationsTold();
        });
        for (int i = 0; i < 12; i++) {
            s.world.after((41 + i) * SECOND, () -> s.cancelRunning(1, 0));
        }
        s.world.after(55 * SECOND, () -> {
            s.heldStarts = 0;
            told[0] = s.rules.cancellationsTold() - told[0];
        });
        s.run(65 * SECOND, 500 * SECOND);
        assertTrue(told[0] > 3, told[0] + " cancellations");
        assertRulesAndAllDone(s);
    }

    /**
     * Work of which nothing is expected leaves full-price machines alone, but not for so long that it is left waiting
     * beside room that nobody else uses.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void deferrableWorkIsNotLeftWaitingBesideRoom(long seed) {
        Simulation s = new Simulation(seed, (seed % 2 == 0 ? LONG : SHORT).with(3, 1));
        JobSpec like = s.job(false, 1, Priority.STANDARD, "free", false, false, false, 600 * SECOND, 0);
        s.submit(s.withCpu(like, 1, 9_000), -1); // holds a part of a full-price machine
        // Fills the spot machines, and asks for no others.
        s.submit(
                s.withoutDeadline(s.job(false, 30, Priority.STANDARD, "free", true, false, false, 300 * SECOND, 0)),
                -1);
        JobSpec late =
                s.withoutDeadline(s.job(false, 2, Priority.BEST_EFFORT, "free", true, false, false, 20 * SECOND, 0));
        s.world.after(60 * SECOND, () -> s.submit(late, -1));
        s.run(20 * SECOND, 400 * SECOND);
        assertTrue(s.rules.begunAfter(late.id()) > 30 * SECOND, "it found room at once");
        assertRules(s);
    }

    /** A few seeds in every build; by hand {@code -Dgranitepath.pairs=N} for more, {@code .pair=S} for one alone. */
    static LongStream pairs() {
        Long one = Long.getLong("granitepath.pair");
        long first = Long.getLong("granitepath.firstpair", 0);
        return one != null
                ? LongStream.of(one)
                : LongStream.range(first, first + Long.getLong("granitepath.pairs", 16));
    }

    /** Any two troubles close in time, three times over. */
    @ParameterizedTest
    @MethodSource("pairs")
    void anyTwoTroublesMeet(long seed) {
        Simulation s = withJobs(simulation(seed), 35, 150 * SECOND);
        longWork(s, 4, 4, 60 * SECOND);
        // Teams whose guarantees and limits bind: room is lent and taken back meanwhile.
        for (int i = 0; i < 10; i++) {
            s.world.after(
                    (5 + 14 * i) * SECOND,
                    () -> s.submit(
                            s.job(
                                    false,
                                    1 + s.world.random.nextInt(8),
                                    Priority.STANDARD,
                                    s.world.random.nextBoolean() ? "granted" : "lender",
                                    true,
                                    false,
                                    false,
                                    15 * SECOND,
                                    0),
                            -1));
        }
        List<Consumer<Simulation>> troubles = troubles();
        for (int i = 0; i < 3; i++) {
            long at = (30 + 55 * i) * SECOND + s.world.random.nextInt(8_000_000);
            Consumer<Simulation> one = troubles.get(s.world.random.nextInt(troubles.size()));
            Consumer<Simulation> other = troubles.get(s.world.random.nextInt(troubles.size()));
            s.world.after(at, () -> one.accept(s));
            s.world.after(at + s.world.random.nextInt(6_000_000), () -> other.accept(s));
        }
        s.run(250 * SECOND, 650 * SECOND);
        assertRulesAndAllDone(s);
    }

    private static long time(Simulation s) {
        return (2 + s.world.random.nextInt(40)) * SECOND;
    }

    private static World.Cut cut(Simulation s) {
        return s.world.random.nextBoolean() ? World.Cut.HOLD : World.Cut.DROP;
    }

    private static void someMachines(Simulation s, Consumer<SimWorker> what) {
        List<SimWorker> all = s.cloud.workers();
        int every = 2 + s.world.random.nextInt(4);
        for (int i = 0; i < all.size(); i += every) {
            what.accept(all.get(i));
        }
    }

    private static List<Consumer<Simulation>> troubles() {
        return List.of(
                s -> s.crash(s.leader(), 200_000 + s.world.random.nextInt(6_000_000)),
                s -> s.names.forEach(n -> s.crash(n, 200_000 + s.world.random.nextInt(30_000_000))),
                s -> s.state.refuse(s.leader(), time(s)),
                s -> s.state.outage(time(s) + s.shape.cancel() / 2),
                s -> s.cutFromPeersAndState(s.leader(), cut(s), time(s)),
                s -> s.cut(s.leader(), SimState.NAME, cut(s), time(s)),
                s -> s.cutFromWorkers(s.leader(), cut(s), time(s)),
                s -> s.cutZone(s.zoneOf(s.anyNode()), cut(s), time(s)),
                s -> s.freeze(s.leader(), time(s)),
                s -> s.cancelRunning(6, s.world.random.nextBoolean() ? 0 : time(s)),
                s -> {
                    s.cancelledAtEnd = 0.5;
                    s.world.after(time(s), () -> s.cancelledAtEnd = 0);
                },
                s -> {
                    s.state.lateWrites = 0.3;
                    s.world.after(time(s), () -> s.state.lateWrites = 0);
                },
                s -> {
                    s.world.lateCopies = 0.2;
                    s.world.after(time(s), () -> s.world.lateCopies = 0);
                },
                s -> {
                    s.world.heldUp = 0.06;
                    s.world.after(time(s), () -> s.world.heldUp = 0);
                },
                s -> s.state.blindFor(s.leader(), time(s)),
                s -> someMachines(s, w -> s.deafen(w, time(s))),
                s -> someMachines(s, w -> s.mute(w, time(s))),
                s -> someMachines(s, w -> s.cutMachine(w, cut(s), time(s))),
                s -> someMachines(s, w -> w.hangFor(time(s))),
                s -> someMachines(s, w -> s.world.after(s.world.random.nextInt(3_000_000), w::die)),
                s -> s.oddRequests(time(s)),
                s -> s.cloud.outage(time(s)));
    }
}
