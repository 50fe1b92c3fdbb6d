package org.granitepath.simulation;

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

    private static JobSpec gang(Simulation s, int tasks, boolean spot, long runMicros, long checkpointMicros) {
        return s.jobs.job(false, tasks, Priority.STANDARD, "free", spot, false, true, runMicros, checkpointMicros);
    }

    /** A deployment with a gang in it, and capacity for another attempt elsewhere. */
    private static JobSpec submitGang(Simulation s, boolean spot, long runMicros, long checkpointMicros) {
        JobSpec spec = gang(s, SIZE, spot, runMicros, checkpointMicros);
        s.run(SECOND);
        s.users.submit(spec, -1);
        return spec;
    }

    private static List<SimWorker> holders(Simulation s, JobSpec spec) {
        return s.cloud.workers().stream()
                .filter(w -> w.runs().held().containsKey(spec.id()))
                .toList();
    }

    private static void runUntilHeld(Simulation s, JobSpec spec) {
        while (tasksHeld(s, spec) < spec.tasks()) {
            s.run(s.world.now() + SECOND / 10);
            assertTrue(s.world.now() < 120 * SECOND, "the gang is not started");
        }
    }

    private static int tasksHeld(Simulation s, JobSpec spec) {
        return holders(s, spec).stream()
                .map(worker -> worker.runs().held())
                .mapToInt((Map<String, Integer> held) -> held.get(spec.id()))
                .sum();
    }

    private static void runUntilRunning(Simulation s, JobSpec spec) {
        while (!s.gangs.runs(spec.id())) {
            s.run(s.world.now() + SECOND / 10);
            assertTrue(s.world.now() < 120 * SECOND, "the gang does not run");
        }
    }

    /** Small gangs fit one machine: a service that fills most of each makes the gang take several. */
    private static JobSpec submitOnSeveralMachines(Simulation s, int tasks, long runMicros) {
        for (int i = 0; i < 8; i++) {
            s.users.submit(
                    s.jobs.withCpu(
                            s.jobs.job(true, 1, Priority.CRITICAL, "free", false, false, false, 0, 0), 1, 11_000),
                    -1);
        }
        s.run(30 * SECOND);
        JobSpec spec = gang(s, tasks, false, runMicros, 3 * SECOND);
        s.users.submit(spec, -1);
        return spec;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void gangsStartWholeAndFinish(long seed) {
        Simulation s = new Simulation(seed);
        for (int i = 0; i < 12; i++) {
            JobSpec spec = gang(s, i % 3 == 0 ? 9 : SIZE, i % 2 == 0, 10 * SECOND, 3 * SECOND);
            s.world.after((2 + 3 * i) * SECOND, () -> s.users.submit(spec, -1));
        }
        s.run(200 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(12, s.gangs.started, "each gang starts once");
        assertEquals(0, s.gangs.incomplete, "tasks that waited in vain");
    }

    /** Its machine dies while it fetches its image: the others wait, and another task joins them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aTaskLostBeforeTheStartIsReplacedInTheSameAttempt(long seed) {
        Simulation s = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(s, SIZE, 10 * SECOND);
        runUntilHeld(s, spec);
        assertTrue(holders(s, spec).size() > 1, "all on one machine");
        SimWorker lost = holders(s, spec).get(0);
        lost.die();
        s.run(s.world.now() + 60 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(1, s.gangs.attemptsOf(spec.id()));
    }

    /** Nothing starts before the old attempt is gone, and the next one goes on from the last checkpoint. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aTaskLostWhileRunningEndsTheAttempt(long seed) {
        Simulation s = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(s, 9, 10 * SECOND);
        runUntilRunning(s, spec);
        s.run(s.world.now() + 2 * SECOND);
        holders(s, spec).get(0).die();
        s.run(s.world.now() + 100 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(2, s.gangs.attemptsOf(spec.id()));
    }

    /** A hanging machine may go on later: no task of it is started elsewhere before its lease is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aMachineThatHangsHoldsItsTask(long seed) {
        Simulation s = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(s, 9, 20 * SECOND);
        runUntilRunning(s, spec);
        holders(s, spec).get(0).hangFor(9 * SECOND);
        s.run(s.world.now() + 150 * SECOND);
        assertRulesAndAllDone(s);
    }

    /** The cloud takes one machine back: all tasks save together, and nothing is lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allTasksSaveWhenOneMachineIsTakenBack(long seed) {
        Simulation s = new Simulation(seed);
        JobSpec spec = submitGang(s, true, 40 * SECOND, 30 * SECOND);
        runUntilRunning(s, spec);
        s.run(s.world.now() + 5 * SECOND);
        SimWorker taken = holders(s, spec).get(0);
        taken.notice(8 * SECOND);
        s.world.after(8 * SECOND, taken::die);
        s.run(s.world.now() + 150 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(1, s.gangs.savedInOrder, "its progress was not saved");
    }

    /** Whatever the gang does when the leader ends, the next leader carries the same attempt on. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 800, 1_500, 2_200, 3_000, 5_000, 8_000, 12_000})
    void aTakeoverCarriesTheAttemptOn(long millis) {
        Simulation s = new Simulation(millis + 1);
        JobSpec spec = submitOnSeveralMachines(s, 9, 10 * SECOND);
        runUntilHeld(s, spec);
        s.run(s.world.now() + millis * 1_000);
        s.faults.crash(s.leader(), 3 * SECOND);
        s.world.after(5 * SECOND, () -> s.faults.crash(s.leader(), 400_000));
        s.run(s.world.now() + 120 * SECOND);
        assertRulesAndAllDone(s);
        assertEquals(1, s.gangs.attemptsOf(spec.id()));
    }

    /** A machine is silent while the leader changes: nothing of another attempt starts beside what may run there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aTakeoverWithASilentMachine(long seed) {
        Simulation s = new Simulation(seed);
        JobSpec spec = submitOnSeveralMachines(s, 9, 10 * SECOND);
        runUntilHeld(s, spec);
        s.run(s.world.now() + seed * SECOND);
        s.faults.cutMachine(holders(s, spec).get(0), seed % 2 == 0 ? World.Cut.HOLD : World.Cut.DROP, 20 * SECOND);
        s.faults.crash(s.leader(), SECOND);
        s.world.after(7 * SECOND, () -> s.faults.crash(s.leader(), SECOND));
        s.run(s.world.now() + 200 * SECOND);
        assertRulesAndAllDone(s);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_500, 2_500, 4_000, 9_000})
    void aCancellationEndsAGangInAnyState(long millis) {
        Simulation s = new Simulation(millis + 7);
        JobSpec spec = submitOnSeveralMachines(s, 9, 30 * SECOND);
        runUntilHeld(s, spec);
        s.run(s.world.now() + millis * 1_000);
        s.users.cancel(spec.id());
        s.faults.crash(s.leader(), SECOND);
        s.run(s.world.now() + 60 * SECOND);
        assertRules(s);
        assertEquals(JobState.CANCELLED, s.rules.finalTold(spec.id()));
        assertEquals(0, tasksHeld(s, spec));
    }

    /** Small work that never ends must not take for ever the capacity that a gang needs: a whole large machine. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aGangIsNotStarvedBySmallWork(long seed) {
        Simulation s = new Simulation(seed, Simulation.Shape.SMALL.with(3, 1));
        for (int i = 0; i < 130; i++) {
            s.world.after(
                    SECOND * i,
                    () -> s.users.submit(
                            s.jobs.job(false, 8, Priority.STANDARD, "free", true, false, false, 8 * SECOND, 0), -1));
        }
        JobSpec spec = s.jobs.withCpu(
                s.jobs.job(false, SIZE, Priority.STANDARD, "free", false, false, true, 8 * SECOND, 0), SIZE, 4_000);
        s.world.after(20 * SECOND, () -> s.users.submit(spec, -1));
        s.run(110 * SECOND);
        assertRules(s);
        assertEquals(JobState.DONE, s.rules.finalTold(spec.id()), "the gang waits");
    }

    /** There is capacity for one of them at a time: neither holds what the other needs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoGangsThatNeedTheSameCapacity(long seed) {
        Simulation s = new Simulation(seed, Simulation.Shape.SMALL.with(3, 1));
        for (int i = 0; i < 6; i++) {
            JobSpec spec = s.jobs.withCpu(
                    s.jobs.job(false, SIZE, Priority.STANDARD, "free", false, false, true, 8 * SECOND, 0), SIZE, 4_000);
            s.world.after(2 * SECOND, () -> s.users.submit(spec, -1));
        }
        s.run(250 * SECOND);
        assertRulesAndAllDone(s);
    }

    @Test
    void aGangBeyondItsTeamsLimitIsRefused() {
        Simulation s = new Simulation(5);
        JobSpec wide = s.jobs.job(false, 9, Priority.STANDARD, "tight", true, false, false, SECOND, 0);
        JobSpec narrow = s.jobs.job(false, SIZE, Priority.STANDARD, "tight", true, false, false, SECOND, 0);
        s.run(3 * SECOND);
        s.users.submit(wide, -1);
        s.users.submit(narrow, -1);
        s.run(60 * SECOND);
        assertRules(s);
        assertNull(s.rules.finalTold(wide.id()));
        assertTrue(!s.rules.acceptedJob(wide.id()), "accepted, though it can't run");
        assertEquals(JobState.DONE, s.rules.finalTold(narrow.id()));
    }
}
