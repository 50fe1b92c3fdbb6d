package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.LONG;
import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.SHORT;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.storage.Keys;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports, commands and transactions that arrive late, twice, or after newer ones. */
class DelayedMessagesTest {
    /** 5. Transactions without an answer are carried out late, after newer ones of the same controller. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void transactionsAreCarriedOutLate(long seed) {
        Simulation s = withJobs(simulation(seed), 40, 100 * SECOND);
        s.world.after(10 * SECOND, () -> s.store.lateWrites = 0.3);
        for (int i = 0; i < 4; i++) {
            s.world.after(
                    (30 + 20 * i) * SECOND,
                    () -> s.faults.crash(s.leader(), 300_000 + s.world.random.nextInt(4_000_000)));
        }
        s.world.after(120 * SECOND, () -> s.store.lateWrites = 0);
        s.run(135 * SECOND, 500 * SECOND);
        assertTrue(s.store.lateSuccesses > 0, "no late transaction went in");
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
                () -> s.cloud.workers().stream()
                        .filter(w -> w.runs().busy())
                        .limit(6)
                        .forEach(w -> {
                            muted[0]++;
                            s.faults.mute(w, s.shape.lease() + 10 * SECOND);
                        }));
        s.world.after(48 * SECOND, () -> s.faults.crash(s.leader(), 5 * SECOND));
        s.world.after(50 * SECOND, () -> s.users.cancelRunning(3, 0));
        s.run(60 * SECOND + s.shape.lease(), 400 * SECOND);
        assertTrue(muted[0] > 2, muted[0] + " machines at work fell mute");
        assertRulesAndAllDone(s);
    }

    /** 15. Reports are held back until a new leader has acted, and then arrive there and at the former one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsOfBeforeArriveAtTheNewLeader(long seed) {
        Simulation s = simulation(seed);
        longWork(s, 5, 8, 20 * SECOND);
        int[] met = new int[2];
        s.world.after(45 * SECOND, () -> {
            int fencingTokens = s.store.writesOf(Keys.FENCING_TOKEN);
            String former = s.leader();
            List<Heartbeat> held =
                    s.cloud.workers().stream().map(SimWorker::latest).toList();
            s.faults.crash(former, 300_000);
            s.world.after(9 * SECOND, () -> {
                met[0] = held.size();
                met[1] = s.store.writesOf(Keys.FENCING_TOKEN) - fencingTokens;
                held.forEach(b -> s.names.forEach(n -> s.faults.deliver(n, b)));
            });
            s.world.after(3 * s.shape.lease(), () -> held.forEach(s.faults::deliver));
        });
        s.run(50 * SECOND + 3 * s.shape.lease(), 400 * SECOND);
        assertTrue(
                met[0] > 2 && met[1] > 0, met[0] + " reports held back, " + met[1] + " fencing tokens drawn meanwhile");
        assertRulesAndAllDone(s);
    }

    /** 16. Old reports arrive after newer ones, also of earlier agent epochs and attempts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsOfEarlierAgentEpochsAndAttempts(long seed) {
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
                        s.faults.deliver(old);
                    });
                }
            });
        }
        s.world.after(60 * SECOND, () -> s.faults.crash(s.leader(), 300_000));
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
                    (35 + 8 * i) * SECOND,
                    () -> s.users.cancelRunning(2, 6 * SECOND + s.world.random.nextInt(30_000_000)));
        }
        s.world.after(85 * SECOND, () -> s.world.heldUp = 0);
        s.run(125 * SECOND, 500 * SECOND);
        assertTrue(s.rules.cancellationsTold() > 5);
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
            s.store.refuseWritesOf(s.leader(), 15 * SECOND);
            s.heldStarts = 7 * SECOND;
            told[0] = s.rules.cancellationsTold();
        });
        for (int i = 0; i < 12; i++) {
            s.world.after((41 + i) * SECOND, () -> s.users.cancelRunning(1, 0));
        }
        s.world.after(55 * SECOND, () -> {
            s.heldStarts = 0;
            told[0] = s.rules.cancellationsTold() - told[0];
        });
        s.run(65 * SECOND, 500 * SECOND);
        assertTrue(told[0] > 3, told[0] + " cancellations");
        assertRulesAndAllDone(s);
    }
}
