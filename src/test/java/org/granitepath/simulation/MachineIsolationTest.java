package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.submitBatches;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ports.Heartbeat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Machines that can't be reached, can't reach any controller, or no longer exist. Controllers do not place tasks on
 * them again and again.
 */
class MachineIsolationTest {
    private static final long SECOND = Simulation.SECOND;
    private static final long TASK_CPU_MILLIS = 2_000;

    /** A machine that is about to be isolated, and the number of start commands sent to it before. */
    private record IsolatedMachine(SimWorker worker, int startsBefore) {
        static IsolatedMachine now(Simulation simulation, SimWorker worker) {
            return new IsolatedMachine(worker, simulation.commands.startCount(worker.id));
        }

        void assertStartsFillItAtMostTwice(Simulation simulation) {
            int slots = (int) (worker.type.cpuMillis() / TASK_CPU_MILLIS);
            int starts = simulation.commands.startCount(worker.id) - startsBefore;
            assertTrue(starts <= 2 * slots, "filled again and again: " + starts + " starts on " + slots + " slots");
        }
    }

    /**
     * A machine is cut off in one direction: its heartbeats arrive, but answers and commands don't reach it, or the
     * other way round. It is returned to the cloud and not filled again and again, although work that would fit on it
     * waits all the time.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void machineCutOffInOneDirectionIsReturned(long seed) {
        Simulation simulation = new Simulation(seed, 3, 2);

        for (int i = 0; i < 12; i++) {
            simulation.after(
                    2 * SECOND + 8L * i * SECOND, () -> simulation.users.submit(simulation.jobs.batch(40, 8 * SECOND)));
        }
        Observation<IsolatedMachine> observed = new Observation<>();
        simulation.after(40 * SECOND, () -> {
            SimWorker worker = simulation.randomWorker();
            observed.set(IsolatedMachine.now(simulation, worker));
            if (seed % 2 == 0) {
                simulation.faults.dropMessagesTo(worker, 150 * SECOND);
            } else {
                simulation.faults.dropHeartbeatsFrom(worker, 150 * SECOND);
            }
        });
        simulation.runWithLivenessChecks(200 * SECOND, 700 * SECOND);

        assertRulesAndAllDone(simulation);
        assertFalse(observed.get().worker().isAlive(), "the machine was not returned to the cloud");
        observed.get().assertStartsFillItAtMostTwice(simulation);
    }

    /**
     * So many machines stop receiving messages at once that their missing heartbeats do not count as evidence of a
     * failure. They are not filled again and again either.
     */
    @ParameterizedTest
    @ValueSource(longs = {16, 17})
    void machinesThatReceiveNothingAreNotFilledAgain(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        submitBatches(simulation, 8, 200, 8 * SECOND);

        List<IsolatedMachine> isolatedMachines = new ArrayList<>();
        simulation.after(
                45 * SECOND,
                () -> simulation.cloud.workers().stream().limit(5).forEach(worker -> {
                    isolatedMachines.add(IsolatedMachine.now(simulation, worker));
                    simulation.faults.dropMessagesTo(worker, 80 * SECOND);
                }));
        simulation.run(125 * SECOND);

        isolatedMachines.forEach(machine -> machine.assertStartsFillItAtMostTwice(simulation));

        simulation.runWithLivenessChecks(130 * SECOND, 700 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A heartbeat of a lost machine arrives once more, much later. No task is placed on that machine. */
    @Test
    void lateHeartbeatOfLostMachineBringsItNoWork() {
        Simulation simulation = new Simulation(15, 3, 1);

        simulation.after(2 * SECOND, () -> simulation.users.submit(simulation.jobs.batch(900, 8 * SECOND)));
        Observation<SimWorker> lostWorker = new Observation<>();
        Observation<Integer> startsBefore = new Observation<>();
        simulation.after(40 * SECOND, () -> {
            SimWorker worker = simulation.randomWorker();
            lostWorker.set(worker);
            Heartbeat late = worker.lastHeartbeat();
            worker.die();
            simulation.after(30 * SECOND, () -> startsBefore.set(simulation.commands.startCount(worker.id)));
            for (int i = 31; i < 60; i += 7) {
                simulation.after(i * SECOND, () -> simulation.faults.deliverHeartbeat(late));
            }
        });
        simulation.run(110 * SECOND);

        assertRules(simulation);
        assertEquals(
                startsBefore.get(),
                simulation.commands.startCount(lostWorker.get().id),
                "tasks were placed on a lost machine");
    }
}
