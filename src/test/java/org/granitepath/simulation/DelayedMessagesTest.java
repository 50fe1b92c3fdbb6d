package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.submitLongRunningJobs;
import static org.granitepath.simulation.FaultScenarios.withFewMachines;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
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
        Simulation simulation = withRandomJobs(simulation(seed), 40, 100 * SECOND);

        simulation.after(10 * SECOND, () -> simulation.store.lateCommitShare = 0.3);
        for (int i = 0; i < 4; i++) {
            simulation.after(
                    (30 + 20 * i) * SECOND,
                    () -> simulation.faults.crash(
                            simulation.leader(), 300_000 + simulation.environment.random.nextInt(4_000_000)));
        }
        simulation.after(120 * SECOND, () -> simulation.store.lateCommitShare = 0);
        simulation.runWithLivenessChecks(135 * SECOND, 500 * SECOND);

        assertTrue(simulation.store.lateCommitCount() > 0, "no late transaction was applied");
        assertRulesAndAllDone(simulation);
    }

    /** Workers can't connect to any controller, but direct commands still reach them, and the leader changes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesOnMachinesThatCannotSendHeartbeats(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 5, 8, 40 * SECOND);

        AtomicInteger silentMachines = new AtomicInteger();
        simulation.after(
                45 * SECOND,
                () -> simulation.cloud.workers().stream()
                        .filter(worker -> worker.attempts().hasRunningTask())
                        .limit(6)
                        .forEach(worker -> {
                            silentMachines.incrementAndGet();
                            simulation.faults.dropHeartbeatsFrom(worker, simulation.config.leaseMicros() + 10 * SECOND);
                        }));
        crashLeaderAfter(simulation, 48 * SECOND, 5 * SECOND);
        simulation.after(50 * SECOND, () -> simulation.users.cancelRunning(3, 0));
        simulation.runWithLivenessChecks(60 * SECOND + simulation.config.leaseMicros(), 400 * SECOND);

        assertTrue(silentMachines.get() > 2, silentMachines + " busy machines could not send heartbeats");
        assertRulesAndAllDone(simulation);
    }

    /** Heartbeats are delayed until a new leader has acted, and then arrive at the new and at the former leader. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsSentBeforeTakeoverProveNothingToTheNewLeader(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 5, 8, 20 * SECOND);

        Observation<Integer> delayedCount = new Observation<>();
        Observation<Integer> tokensDrawn = new Observation<>();
        simulation.after(45 * SECOND, () -> {
            int fencingTokens = simulation.store.writeCount(Keys.FENCING_TOKEN);
            String former = simulation.leader();
            List<Heartbeat> delayedHeartbeats = simulation.cloud.workers().stream()
                    .map(SimWorker::lastHeartbeat)
                    .toList();
            simulation.faults.crash(former, 300_000);
            simulation.after(9 * SECOND, () -> {
                delayedCount.set(delayedHeartbeats.size());
                tokensDrawn.set(simulation.store.writeCount(Keys.FENCING_TOKEN) - fencingTokens);
                delayedHeartbeats.forEach(heartbeat ->
                        simulation.nodeNames.forEach(node -> simulation.faults.deliverHeartbeat(node, heartbeat)));
            });
            simulation.after(
                    3 * simulation.config.leaseMicros(),
                    () -> delayedHeartbeats.forEach(simulation.faults::deliverHeartbeat));
        });
        simulation.runWithLivenessChecks(50 * SECOND + 3 * simulation.config.leaseMicros(), 400 * SECOND);

        assertTrue(
                delayedCount.get() > 2 && tokensDrawn.get() > 0,
                delayedCount.get() + " heartbeats delayed, " + tokensDrawn.get() + " fencing tokens drawn meanwhile");
        assertRulesAndAllDone(simulation);
    }

    /** Old heartbeats, also of earlier agent epochs and attempts, arrive after newer ones. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsOfEarlierAgentEpochsAndAttemptsProveNothing(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 5, 10, 15 * SECOND);

        AtomicInteger delivered = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            simulation.after((30 + 6 * i) * SECOND, () -> {
                SimWorker worker = simulation.randomWorker();
                Heartbeat old = worker == null ? null : worker.lastHeartbeat();
                if (old == null) {
                    return;
                }
                worker.hangFor(simulation.config.leaseMicros() + 3 * SECOND);
                for (int halfLeases = 1; halfLeases < 5; halfLeases++) {
                    simulation.after(halfLeases * simulation.config.leaseMicros() / 2, () -> {
                        delivered.incrementAndGet();
                        simulation.faults.deliverHeartbeat(old);
                    });
                }
            });
        }
        crashLeaderAfter(simulation, 60 * SECOND, 300_000);
        simulation.runWithLivenessChecks(80 * SECOND + 2 * simulation.config.leaseMicros(), 500 * SECOND);

        assertTrue(delivered.get() > 10, delivered + " old heartbeats");
        assertRulesAndAllDone(simulation);
    }

    /** Commands and their answers are delayed for seconds, machines hang and resume, and jobs are cancelled. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void delayedCommandsToHangingMachinesStartNothingTwice(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 30, 80 * SECOND);
        submitLongRunningJobs(simulation, 4, 6, 40 * SECOND);

        simulation.after(25 * SECOND, () -> simulation.environment.delayedPacketShare = 0.08);
        for (int i = 0; i < 6; i++) {
            simulation.after(
                    (35 + 8 * i) * SECOND,
                    () -> simulation.users.cancelRunning(
                            2, 6 * SECOND + simulation.environment.random.nextInt(30_000_000)));
        }
        simulation.after(85 * SECOND, () -> simulation.environment.delayedPacketShare = 0);
        simulation.runWithLivenessChecks(125 * SECOND, 500 * SECOND);

        assertTrue(simulation.rules.cancelledJobCount() > 5);
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
        Simulation simulation = withFewMachines(seed);
        submitLongRunningJobs(simulation, 2, 16, 25 * SECOND);

        Observation<Integer> confirmedBefore = new Observation<>();
        simulation.after(40 * SECOND, () -> {
            simulation.store.refuseWritesOf(simulation.leader(), 15 * SECOND);
            simulation.directStartDelayMicros = 7 * SECOND;
            confirmedBefore.set(simulation.rules.cancelledJobCount());
        });
        for (int i = 0; i < 12; i++) {
            simulation.after((41 + i) * SECOND, () -> simulation.users.cancelRunning(1, 0));
        }
        simulation.after(55 * SECOND, () -> simulation.directStartDelayMicros = 0);
        Observation<Integer> confirmedAfter = simulation.observe(55 * SECOND, simulation.rules::cancelledJobCount);
        simulation.runWithLivenessChecks(65 * SECOND, 500 * SECOND);

        int confirmed = confirmedAfter.get() - confirmedBefore.get();
        assertTrue(confirmed > 3, confirmed + " cancellations");
        assertRulesAndAllDone(simulation);
    }
}
