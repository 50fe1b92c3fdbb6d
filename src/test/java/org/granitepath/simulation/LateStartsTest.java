package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.submitLongRunningJobs;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Copies of start commands that were carried out and answered before arrive once more, while their tasks are moved,
 * preempted or cancelled and leaders crash. The protocol lets a worker start an attempt again that it has cleared.
 */
class LateStartsTest {
    private static final long FAULTS_END_MICROS = 150 * SECOND;
    private static final long END_MICROS = 500 * SECOND;

    /** Workers keep running: a copy must not match once its attempt has been cleared. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void copiesOfAnsweredStartsRunNothingTwice(long seed) {
        Simulation simulation = withCopiesAndCrashes(seed);
        simulation.runWithLivenessChecks(FAULTS_END_MICROS, END_MICROS);

        assertTrue(simulation.lateCopies.delivered() > 50, simulation.lateCopies.delivered() + " copies");
        assertTrue(simulation.rules.cancelledJobCount() > 5, "cancelled jobs");
        assertEquals(List.of(), simulation.lateCopies.started());
        assertRulesAndAllDone(simulation);
    }

    /**
     * Workers restart within a moment, in their first agent epoch and without a fencing token, so copies from before
     * the restart match. Once a controller has answered them, none may.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void copiesFromBeforeRestartOfWorkerStartNothing(long seed) {
        Simulation simulation = withCopiesAndCrashes(seed);
        for (int i = 0; i < 40; i++) {
            simulation.after((30 + 3 * i) * SECOND, () -> restartRandomBusyWorker(simulation));
        }
        simulation.runWithLivenessChecks(FAULTS_END_MICROS, END_MICROS);

        assertTrue(
                simulation.lateCopies.deliveredAfterRestart() > 20,
                simulation.lateCopies.deliveredAfterRestart() + " copies from before a restart");
        assertEquals(List.of(), simulation.lateCopies.started());
        assertRulesAndAllDone(simulation);
    }

    private static Simulation withCopiesAndCrashes(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 40, 100 * SECOND);
        submitLongRunningJobs(simulation, 5, 8, 30 * SECOND);
        for (int i = 0; i < 20; i++) {
            simulation.after(
                    (5 + 5 * i) * SECOND, () -> simulation.users.submit(simulation.jobs.batch(6, 10 * SECOND)));
        }
        simulation.lateCopies.setEnabled(true);
        simulation.after(FAULTS_END_MICROS - 60 * SECOND, () -> simulation.lateCopies.setEnabled(false));
        for (int i = 0; i < 4; i++) {
            crashLeaderAfter(simulation, (40 + 25 * i) * SECOND, i % 2 == 0 ? 300_000 : 4 * SECOND);
            simulation.after((45 + 15 * i) * SECOND, () -> simulation.users.cancelRunning(3, 0));
        }
        return simulation;
    }

    private static void restartRandomBusyWorker(Simulation simulation) {
        simulation.cloud.workers().stream()
                .filter(worker -> worker.attempts().hasRunningTask())
                .skip(simulation.environment.random.nextInt(4))
                .findFirst()
                .ifPresent(SimWorker::restart);
    }
}
