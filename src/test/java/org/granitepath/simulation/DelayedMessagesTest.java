package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crowded;
import static org.granitepath.simulation.FaultScenarios.leaderEnds;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.withJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.storage.Keys;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heartbeats, commands and transactions that arrive late, twice, or after newer ones. */
class DelayedMessagesTest {
    /** The store applies transactions that got no answer late, after newer ones of the same controller. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void lateTransactionsDoNotOverwriteNewerOnes(long seed) {
        Simulation simulation = withJobs(simulation(seed), 40, 100 * SECOND);

        simulation.after(10 * SECOND, () -> simulation.store.lateWrites = 0.3);
        for (int i = 0; i < 4; i++) {
            simulation.after(
                    (30 + 20 * i) * SECOND,
                    () -> simulation.faults.crash(
                            simulation.leader(), 300_000 + simulation.world.random.nextInt(4_000_000)));
        }
        simulation.after(120 * SECOND, () -> simulation.store.lateWrites = 0);
        simulation.run(135 * SECOND, 500 * SECOND);

        assertTrue(simulation.store.lateSuccesses() > 0, "no late transaction went in");
        assertRulesAndAllDone(simulation);
    }

    /** Workers can't connect to any controller, but direct commands still reach them, and the leader changes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesOnMachinesThatCannotSendHeartbeats(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 5, 8, 40 * SECOND);

        AtomicInteger muted = new AtomicInteger();
        simulation.after(
                45 * SECOND,
                () -> simulation.cloud.workers().stream()
                        .filter(worker -> worker.runs().busy())
                        .limit(6)
                        .forEach(worker -> {
                            muted.incrementAndGet();
                            simulation.faults.mute(worker, simulation.shape.lease() + 10 * SECOND);
                        }));
        leaderEnds(simulation, 48 * SECOND, 5 * SECOND);
        simulation.after(50 * SECOND, () -> simulation.users.cancelRunning(3, 0));
        simulation.run(60 * SECOND + simulation.shape.lease(), 400 * SECOND);

        assertTrue(muted.get() > 2, muted + " machines at work fell mute");
        assertRulesAndAllDone(simulation);
    }

    /** Heartbeats are delayed until a new leader has acted, and then arrive at the new and at the former leader. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsSentBeforeTakeoverProveNothingToTheNewLeader(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 5, 8, 20 * SECOND);

        Observation<Integer> heldBack = new Observation<>();
        Observation<Integer> tokensDrawn = new Observation<>();
        simulation.after(45 * SECOND, () -> {
            int fencingTokens = simulation.store.writesOf(Keys.FENCING_TOKEN);
            String former = simulation.leader();
            List<Heartbeat> held =
                    simulation.cloud.workers().stream().map(SimWorker::latest).toList();
            simulation.faults.crash(former, 300_000);
            simulation.after(9 * SECOND, () -> {
                heldBack.set(held.size());
                tokensDrawn.set(simulation.store.writesOf(Keys.FENCING_TOKEN) - fencingTokens);
                held.forEach(heartbeat -> simulation.names.forEach(node -> simulation.faults.deliver(node, heartbeat)));
            });
            simulation.after(3 * simulation.shape.lease(), () -> held.forEach(simulation.faults::deliver));
        });
        simulation.run(50 * SECOND + 3 * simulation.shape.lease(), 400 * SECOND);

        assertTrue(
                heldBack.get() > 2 && tokensDrawn.get() > 0,
                heldBack.get() + " heartbeats held back, " + tokensDrawn.get() + " fencing tokens drawn meanwhile");
        assertRulesAndAllDone(simulation);
    }

    /** Old heartbeats, also of earlier agent epochs and attempts, arrive after newer ones. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsOfEarlierAgentEpochsAndAttemptsProveNothing(long seed) {
        Simulation simulation = simulation(seed);
        longWork(simulation, 5, 10, 15 * SECOND);

        AtomicInteger delivered = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            simulation.after((30 + 6 * i) * SECOND, () -> {
                SimWorker worker = simulation.anyWorker();
                Heartbeat old = worker == null ? null : worker.latest();
                if (old == null) {
                    return;
                }
                worker.hangFor(simulation.shape.lease() + 3 * SECOND);
                for (int halfLeases = 1; halfLeases < 5; halfLeases++) {
                    simulation.after(halfLeases * simulation.shape.lease() / 2, () -> {
                        delivered.incrementAndGet();
                        simulation.faults.deliver(old);
                    });
                }
            });
        }
        leaderEnds(simulation, 60 * SECOND, 300_000);
        simulation.run(80 * SECOND + 2 * simulation.shape.lease(), 500 * SECOND);

        assertTrue(delivered.get() > 10, delivered + " old heartbeats");
        assertRulesAndAllDone(simulation);
    }

    /** Commands and their answers are delayed for seconds, machines hang and resume, and jobs are cancelled. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void delayedCommandsToHangingMachinesStartNothingTwice(long seed) {
        Simulation simulation = withJobs(simulation(seed), 30, 80 * SECOND);
        longWork(simulation, 4, 6, 40 * SECOND);

        simulation.after(25 * SECOND, () -> simulation.world.heldUp = 0.08);
        for (int i = 0; i < 6; i++) {
            simulation.after(
                    (35 + 8 * i) * SECOND,
                    () -> simulation.users.cancelRunning(2, 6 * SECOND + simulation.world.random.nextInt(30_000_000)));
        }
        simulation.after(85 * SECOND, () -> simulation.world.heldUp = 0);
        simulation.run(125 * SECOND, 500 * SECOND);

        assertTrue(simulation.rules.cancellationsTold() > 5);
        assertRulesAndAllDone(simulation);
    }

    /**
     * Direct start commands are delayed while the store refuses the leader's writes, so that it can't draw new fencing
     * tokens, and jobs are cancelled. Later calls to the same machines contain only stop commands and are answered
     * first. These answers were once taken for answers to the start commands.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void answersToLaterCallsAreNotTakenForAnswersToDelayedStarts(long seed) {
        Simulation simulation = crowded(seed);
        longWork(simulation, 2, 16, 25 * SECOND);

        Observation<Integer> toldBefore = new Observation<>();
        simulation.after(40 * SECOND, () -> {
            simulation.store.refuseWritesOf(simulation.leader(), 15 * SECOND);
            simulation.heldStarts = 7 * SECOND;
            toldBefore.set(simulation.rules.cancellationsTold());
        });
        for (int i = 0; i < 12; i++) {
            simulation.after((41 + i) * SECOND, () -> simulation.users.cancelRunning(1, 0));
        }
        simulation.after(55 * SECOND, () -> simulation.heldStarts = 0);
        Observation<Integer> toldAfter = simulation.observe(55 * SECOND, simulation.rules::cancellationsTold);
        simulation.run(65 * SECOND, 500 * SECOND);

        int told = toldAfter.get() - toldBefore.get();
        assertTrue(told > 3, told + " cancellations");
        assertRulesAndAllDone(simulation);
    }
}
