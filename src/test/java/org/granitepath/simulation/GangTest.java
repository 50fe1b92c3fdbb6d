package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.partitionModeOf;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Gangs: all tasks of a job run together or none runs, whatever happens to one of them or to the leader. */
class GangTest {
    private static final long SECOND = Simulation.SECOND;
    private static final int SIZE = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void gangsStartWholeAndFinish(long seed) {
        Simulation simulation = new Simulation(seed);
        for (int i = 0; i < 12; i++) {
            JobSpec spec =
                    GangScenario.gangSpec(simulation, i % 3 == 0 ? 9 : SIZE, i % 2 == 0, 10 * SECOND, 3 * SECOND);
            simulation.after((2 + 3 * i) * SECOND, () -> simulation.users.submit(spec));
        }
        simulation.run(200 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(12, simulation.gangs.startedAttemptCount(), "each gang starts once");
        assertEquals(0, simulation.gangs.startTimeoutCount(), "tasks that timed out waiting for their gang");
    }

    /** A task's machine dies while it pulls its image. The other tasks wait, and a replacement joins them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void taskLostBeforeTheStartIsReplacedInTheSameAttempt(long seed) {
        GangScenario gang = GangScenario.onSeveralMachines(seed, SIZE, 10 * SECOND);
        gang.runUntilPlaced();
        assertTrue(gang.workersWithTasks().size() > 1, "all on one machine");

        gang.workersWithTasks().get(0).die();
        gang.runFor(60 * SECOND);

        assertRulesAndAllDone(gang.simulation());
        assertEquals(1, gang.attemptCount());
    }

    /** No task starts before the old attempt has ended, and the next attempt resumes from the last checkpoint. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void taskLostWhileRunningEndsTheAttempt(long seed) {
        GangScenario gang = GangScenario.onSeveralMachines(seed, 9, 10 * SECOND);
        gang.runUntilRunning();

        gang.runFor(2 * SECOND);
        gang.workersWithTasks().get(0).die();
        gang.runFor(100 * SECOND);

        assertRulesAndAllDone(gang.simulation());
        assertEquals(2, gang.attemptCount());
    }

    /** A hanging machine may resume later, so its tasks start on no other machine before its lease has expired. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void hangingMachineKeepsItsTaskUntilItsLeaseExpires(long seed) {
        GangScenario gang = GangScenario.onSeveralMachines(seed, 9, 20 * SECOND);
        gang.runUntilRunning();

        gang.workersWithTasks().get(0).hangFor(9 * SECOND);
        gang.runFor(150 * SECOND);

        assertRulesAndAllDone(gang.simulation());
    }

    /** The cloud takes back one spot machine. All tasks save a checkpoint together, and no progress is lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allTasksSaveWhenOneMachineIsPreempted(long seed) {
        GangScenario gang = GangScenario.onSpotMachines(seed, SIZE, 40 * SECOND, 30 * SECOND);
        Simulation simulation = gang.simulation();
        gang.runUntilRunning();

        gang.runFor(5 * SECOND);
        SimWorker preemptedMachine = gang.workersWithTasks().get(0);
        preemptedMachine.announceTermination(8 * SECOND);
        simulation.after(8 * SECOND, preemptedMachine::die);
        gang.runFor(150 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(1, simulation.gangs.savedAttemptCount(), "its progress was not saved");
    }

    /** Whatever state the gang is in when the leader crashes, the next leader continues the same attempt. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 800, 1_500, 2_200, 3_000, 5_000, 8_000, 12_000})
    void newLeaderContinuesTheAttempt(long millis) {
        GangScenario gang = GangScenario.onSeveralMachines(millis + 1, 9, 10 * SECOND);
        Simulation simulation = gang.simulation();
        gang.runUntilPlaced();

        gang.runFor(millis * 1_000);
        simulation.faults.crash(simulation.leader(), 3 * SECOND);
        crashLeaderAfter(simulation, 5 * SECOND, 400_000);
        gang.runFor(120 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(1, gang.attemptCount());
    }

    /** A machine can't be reached while the leader changes. No other attempt starts while tasks may run there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void takeoverWithUnresponsiveMachineStartsNoConcurrentAttempt(long seed) {
        GangScenario gang = GangScenario.onSeveralMachines(seed, 9, 10 * SECOND);
        Simulation simulation = gang.simulation();
        gang.runUntilPlaced();

        gang.runFor(seed * SECOND);
        simulation.faults.partitionMachine(gang.workersWithTasks().get(0), partitionModeOf(seed), 20 * SECOND);
        simulation.faults.crash(simulation.leader(), SECOND);
        crashLeaderAfter(simulation, 7 * SECOND, SECOND);
        gang.runFor(200 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_500, 2_500, 4_000, 9_000})
    void cancellationEndsGangInAnyState(long millis) {
        GangScenario gang = GangScenario.onSeveralMachines(millis + 7, 9, 30 * SECOND);
        Simulation simulation = gang.simulation();
        gang.runUntilPlaced();

        gang.runFor(millis * 1_000);
        simulation.users.cancel(gang.jobId());
        simulation.faults.crash(simulation.leader(), SECOND);
        gang.runFor(60 * SECOND);

        assertRules(simulation);
        assertEquals(JobState.CANCELLED, simulation.rules.finalState(gang.jobId()));
        assertEquals(0, gang.heldTaskCount());
    }

    /** A gang that needs the whole of a large machine of this deployment. */
    private static JobSpec gangOfLargeMachineSize(Simulation simulation) {
        return simulation.jobs.withCpu(
                simulation.jobs.batchBuilder(SIZE, 8 * SECOND).inOneZone().build(), SIZE, 4_000);
    }

    /** A steady stream of small jobs must not keep a gang from ever getting the whole large machine that it needs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void gangIsNotStarvedBySmallJobs(long seed) {
        Simulation simulation =
                new Simulation(seed, SimulationConfig.small().withControllers(3).withMachinesPerOffer(1));
        for (int i = 0; i < 130; i++) {
            simulation.after(SECOND * i, () -> simulation.users.submit(simulation.jobs.batch(8, 8 * SECOND)));
        }
        JobSpec spec = gangOfLargeMachineSize(simulation);
        simulation.after(20 * SECOND, () -> simulation.users.submit(spec));
        simulation.run(110 * SECOND);

        assertRules(simulation);
        assertEquals(JobState.DONE, simulation.rules.finalState(spec.id()), "the gang still waits");
    }

    /** There is capacity for one gang at a time. No gang keeps a part of the capacity that another one needs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void gangsThatNeedTheSameCapacityAllComplete(long seed) {
        Simulation simulation =
                new Simulation(seed, SimulationConfig.small().withControllers(3).withMachinesPerOffer(1));
        for (int i = 0; i < 6; i++) {
            JobSpec spec = gangOfLargeMachineSize(simulation);
            simulation.after(2 * SECOND, () -> simulation.users.submit(spec));
        }
        simulation.run(250 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    @Test
    void gangBeyondItsTeamLimitIsRefused() {
        Simulation simulation = new Simulation(5);
        JobSpec wide = simulation.jobs.limitedBatch(9, SECOND);
        JobSpec narrow = simulation.jobs.limitedBatch(SIZE, SECOND);
        simulation.run(3 * SECOND);
        simulation.users.submit(wide);
        simulation.users.submit(narrow);
        simulation.run(60 * SECOND);

        assertRules(simulation);
        assertNull(simulation.rules.finalState(wide.id()));
        assertTrue(!simulation.rules.isAccepted(wide.id()), "a job that can't run was accepted");
        assertEquals(JobState.DONE, simulation.rules.finalState(narrow.id()));
    }
}
