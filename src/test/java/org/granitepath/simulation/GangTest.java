package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.cutOf;
import static org.granitepath.simulation.FaultScenarios.leaderEnds;
import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Gangs: all tasks of a job run together or none does, whatever happens to one of them or to the leader. */
class GangTest {
    private static final long SECOND = Simulation.SECOND;
    private static final int SIZE = 4;

    private static JobSpec gang(Simulation simulation, int tasks, boolean spot, long runMicros, long checkpointMicros) {
        return simulation.jobs.job(
                false, tasks, Priority.STANDARD, "free", spot, false, true, runMicros, checkpointMicros);
    }

    /** A deployment with a gang in it, and capacity for another attempt elsewhere. */
    private static JobSpec submitGang(Simulation simulation, boolean spot, long runMicros, long checkpointMicros) {
        JobSpec spec = gang(simulation, SIZE, spot, runMicros, checkpointMicros);
        simulation.run(SECOND);
        simulation.users.submit(spec);
        return spec;
    }

    private static List<SimWorker> holders(Simulation simulation, JobSpec spec) {
        return simulation.cloud.workers().stream()
                .filter(worker -> worker.runs().held().containsKey(spec.id()))
                .toList();
    }

    private static void runUntilHeld(Simulation simulation, JobSpec spec) {
        while (tasksHeld(simulation, spec) < spec.tasks()) {
            simulation.run(simulation.world.now() + SECOND / 10);
            assertTrue(simulation.world.now() < 120 * SECOND, "the gang is not started");
        }
    }

    private static int tasksHeld(Simulation simulation, JobSpec spec) {
        return holders(simulation, spec).stream()
                .map(worker -> worker.runs().held())
                .mapToInt((Map<String, Integer> held) -> held.get(spec.id()))
                .sum();
    }

    private static void runUntilRunning(Simulation simulation, JobSpec spec) {
        while (!simulation.gangs.runs(spec.id())) {
            simulation.run(simulation.world.now() + SECOND / 10);
            assertTrue(simulation.world.now() < 120 * SECOND, "the gang does not run");
        }
    }

    /** Small gangs fit one machine: a service that fills most of each makes the gang take several. */
    private static JobSpec submitOnSeveralMachines(Simulation simulation, int tasks, long runMicros) {
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(simulation.jobs.withCpu(
                    simulation.jobs.job(true, 1, Priority.CRITICAL, "free", false, false, false, 0, 0), 1, 11_000));
        }
        simulation.run(30 * SECOND);
        JobSpec spec = gang(simulation, tasks, false, runMicros, 3 * SECOND);
        simulation.users.submit(spec);
        return spec;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void gangsStartWholeAndFinish(long seed) {
        Simulation simulation = new Simulation(seed);
        for (int i = 0; i < 12; i++) {
            JobSpec spec = gang(simulation, i % 3 == 0 ? 9 : SIZE, i % 2 == 0, 10 * SECOND, 3 * SECOND);
            simulation.after((2 + 3 * i) * SECOND, () -> simulation.users.submit(spec));
        }
        simulation.run(200 * SECOND);
        assertRulesAndAllDone(simulation);
        assertEquals(12, simulation.gangs.started, "each gang starts once");
        assertEquals(0, simulation.gangs.incomplete, "tasks that waited in vain");
    }

    /** Its machine dies while it fetches its image: the others wait, and another task joins them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aTaskLostBeforeTheStartIsReplacedInTheSameAttempt(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(simulation, SIZE, 10 * SECOND);
        runUntilHeld(simulation, spec);
        assertTrue(holders(simulation, spec).size() > 1, "all on one machine");
        SimWorker lost = holders(simulation, spec).get(0);
        lost.die();
        simulation.run(simulation.world.now() + 60 * SECOND);
        assertRulesAndAllDone(simulation);
        assertEquals(1, simulation.gangs.attemptsOf(spec.id()));
    }

    /** Nothing starts before the old attempt is gone, and the next one goes on from the last checkpoint. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aTaskLostWhileRunningEndsTheAttempt(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(simulation, 9, 10 * SECOND);
        runUntilRunning(simulation, spec);
        simulation.run(simulation.world.now() + 2 * SECOND);
        holders(simulation, spec).get(0).die();
        simulation.run(simulation.world.now() + 100 * SECOND);
        assertRulesAndAllDone(simulation);
        assertEquals(2, simulation.gangs.attemptsOf(spec.id()));
    }

    /** A hanging machine may go on later: no task of it is started elsewhere before its lease is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aMachineThatHangsHoldsItsTask(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(simulation, 9, 20 * SECOND);
        runUntilRunning(simulation, spec);
        holders(simulation, spec).get(0).hangFor(9 * SECOND);
        simulation.run(simulation.world.now() + 150 * SECOND);
        assertRulesAndAllDone(simulation);
    }

    /** The cloud takes one machine back: all tasks save together, and nothing is lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allTasksSaveWhenOneMachineIsTakenBack(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = submitGang(simulation, true, 40 * SECOND, 30 * SECOND);
        runUntilRunning(simulation, spec);
        simulation.run(simulation.world.now() + 5 * SECOND);
        SimWorker taken = holders(simulation, spec).get(0);
        taken.notice(8 * SECOND);
        simulation.after(8 * SECOND, taken::die);
        simulation.run(simulation.world.now() + 150 * SECOND);
        assertRulesAndAllDone(simulation);
        assertEquals(1, simulation.gangs.savedInOrder, "its progress was not saved");
    }

    /** Whatever the gang does when the leader ends, the next leader carries the same attempt on. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 800, 1_500, 2_200, 3_000, 5_000, 8_000, 12_000})
    void aTakeoverCarriesTheAttemptOn(long millis) {
        Simulation simulation = new Simulation(millis + 1);
        JobSpec spec = submitOnSeveralMachines(simulation, 9, 10 * SECOND);
        runUntilHeld(simulation, spec);
        simulation.run(simulation.world.now() + millis * 1_000);
        simulation.faults.crash(simulation.leader(), 3 * SECOND);
        leaderEnds(simulation, 5 * SECOND, 400_000);
        simulation.run(simulation.world.now() + 120 * SECOND);
        assertRulesAndAllDone(simulation);
        assertEquals(1, simulation.gangs.attemptsOf(spec.id()));
    }

    /** A machine is silent while the leader changes: nothing of another attempt starts beside what may run there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aTakeoverWithASilentMachine(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(simulation, 9, 10 * SECOND);
        runUntilHeld(simulation, spec);
        simulation.run(simulation.world.now() + seed * SECOND);
        simulation.faults.cutMachine(holders(simulation, spec).get(0), cutOf(seed), 20 * SECOND);
        simulation.faults.crash(simulation.leader(), SECOND);
        leaderEnds(simulation, 7 * SECOND, SECOND);
        simulation.run(simulation.world.now() + 200 * SECOND);
        assertRulesAndAllDone(simulation);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_500, 2_500, 4_000, 9_000})
    void aCancellationEndsAGangInAnyState(long millis) {
        Simulation simulation = new Simulation(millis + 7);
        JobSpec spec = submitOnSeveralMachines(simulation, 9, 30 * SECOND);
        runUntilHeld(simulation, spec);
        simulation.run(simulation.world.now() + millis * 1_000);
        simulation.users.cancel(spec.id());
        simulation.faults.crash(simulation.leader(), SECOND);
        simulation.run(simulation.world.now() + 60 * SECOND);
        assertRules(simulation);
        assertEquals(JobState.CANCELLED, simulation.rules.finalTold(spec.id()));
        assertEquals(0, tasksHeld(simulation, spec));
    }

    /** Small work that never ends must not take for ever the capacity that a gang needs: a whole large machine. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aGangIsNotStarvedBySmallWork(long seed) {
        Simulation simulation =
                new Simulation(seed, Shape.small().withControllers(3).withPerOffer(1));
        for (int i = 0; i < 130; i++) {
            simulation.after(SECOND * i, () -> simulation.users.submit(simulation.jobs.batch(8, 8 * SECOND)));
        }
        JobSpec spec = simulation.jobs.withCpu(
                simulation.jobs.job(false, SIZE, Priority.STANDARD, "free", false, false, true, 8 * SECOND, 0),
                SIZE,
                4_000);
        simulation.after(20 * SECOND, () -> simulation.users.submit(spec));
        simulation.run(110 * SECOND);
        assertRules(simulation);
        assertEquals(JobState.DONE, simulation.rules.finalTold(spec.id()), "the gang waits");
    }

    /** There is capacity for one of them at a time: neither holds what the other needs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoGangsThatNeedTheSameCapacity(long seed) {
        Simulation simulation =
                new Simulation(seed, Shape.small().withControllers(3).withPerOffer(1));
        for (int i = 0; i < 6; i++) {
            JobSpec spec = simulation.jobs.withCpu(
                    simulation.jobs.job(false, SIZE, Priority.STANDARD, "free", false, false, true, 8 * SECOND, 0),
                    SIZE,
                    4_000);
            simulation.after(2 * SECOND, () -> simulation.users.submit(spec));
        }
        simulation.run(250 * SECOND);
        assertRulesAndAllDone(simulation);
    }

    @Test
    void aGangBeyondItsTeamsLimitIsRefused() {
        Simulation simulation = new Simulation(5);
        JobSpec wide = simulation.jobs.limitedBatch(9, SECOND);
        JobSpec narrow = simulation.jobs.limitedBatch(SIZE, SECOND);
        simulation.run(3 * SECOND);
        simulation.users.submit(wide);
        simulation.users.submit(narrow);
        simulation.run(60 * SECOND);
        assertRules(simulation);
        assertNull(simulation.rules.finalTold(wide.id()));
        assertTrue(!simulation.rules.acceptedJob(wide.id()), "accepted, though it can't run");
        assertEquals(JobState.DONE, simulation.rules.finalTold(narrow.id()));
    }
}
