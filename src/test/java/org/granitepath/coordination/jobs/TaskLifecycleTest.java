package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.jobs.JobsFixture.BATCH;
import static org.granitepath.coordination.jobs.JobsFixture.GANG;
import static org.granitepath.coordination.jobs.JobsFixture.SECOND;
import static org.granitepath.coordination.jobs.JobsFixture.TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the life cycle of tasks, from the decision to start them until they are freed. */
class TaskLifecycleTest {
    private final JobsFixture fixture = new JobsFixture();
    private final TaskLifecycle tasks = fixture.tasks;
    private final Machine machine = fixture.machine("i-1");

    @Test
    void startedTaskUsesCapacityAndQueuesCommand() {
        ActiveJob job = fixture.openJob(BATCH);
        Placement placement = tasks.start(job, machine, fixture.timers.nowMicros());
        assertEquals(Placement.Phase.ASSIGNED, placement.phase());
        assertTrue(machine.placements().contains(placement) && job.placements().contains(placement));
        assertEquals(List.of(machine), fixture.machinesWithCommands.machines());
        assertEquals(BATCH.cpuMillis(), fixture.teamLimits.borrowedCpuMillis(BATCH.team()));
    }

    @Test
    void attemptNumbersGrowWithinAndAcrossTerms() {
        ActiveJob job = fixture.openJob(BATCH);
        long first = tasks.start(job, machine, 0).attempt();
        long second = tasks.start(job, machine, 0).attempt();
        long ofNextTerm = fixture.tasksForTerm(TOKEN + 1).start(job, machine, 0).attempt();
        assertTrue(first < second && second < ofNextTerm, first + " " + second + " " + ofNextTerm);
    }

    @Test
    void stopFreesTaskThatWasNeverSent() {
        ActiveJob job = fixture.openJob(BATCH);
        Placement placement = tasks.start(job, machine, 0);
        tasks.stop(placement, 10 * SECOND, "test");
        assertFalse(placement.isActive());
        assertEquals(placement.task().index(), job.takeTask(), "it is the next task to start");
        assertEquals(0, fixture.teamLimits.borrowedCpuMillis(BATCH.team()));
    }

    @Test
    void sentTaskKeepsItsPlacementWhileStopping() {
        Placement placement = fixture.startAndSend(fixture.openJob(BATCH), machine);
        fixture.machinesWithCommands.remove(machine);
        tasks.stop(placement, 10 * SECOND, "test");
        assertEquals(Placement.Phase.STOPPING, placement.phase());
        assertEquals(List.of(machine), fixture.machinesWithCommands.machines());
        assertTrue(machine.hasPlacements());
    }

    @ParameterizedTest
    @CsvSource({"5, 5", "20, 10"})
    void secondStopOnlyShortensGracePeriod(long secondGraceSeconds, long expectedSeconds) {
        Placement placement = fixture.startAndSend(fixture.openJob(BATCH), machine);
        tasks.stop(placement, 10 * SECOND, "test");
        tasks.stop(placement, secondGraceSeconds * SECOND, "test");
        assertEquals(expectedSeconds * SECOND, placement.graceMicros());
    }

    @Test
    void secondFreeHasNoEffect() {
        ActiveJob job = fixture.openJob(BATCH);
        fixture.startAndSend(job, machine);
        Placement placement = fixture.startAndSend(job, machine);
        tasks.free(placement, "test");
        tasks.free(placement, "test");
        assertEquals(
                BATCH.cpuMillis(),
                fixture.teamLimits.borrowedCpuMillis(BATCH.team()),
                "the other task is still running");
    }

    @ParameterizedTest
    @CsvSource({
        "false, true, 1", // an awaited machine may have the task, because the heartbeat is old
        "false, false, 0",
        "true, true, 0",
    })
    void taskAdoptedFromOldHeartbeatMayBeOnAwaitedMachine(boolean onlyOnThisMachine, boolean awaited, int unconfirmed) {
        if (awaited) {
            fixture.addAwaitedMachine();
        }
        ActiveJob job = fixture.openJob(BATCH);
        Placement placement = fixture.adopt(job, 0, machine, 1, onlyOnThisMachine);
        tasks.free(placement, "test");
        assertEquals(unconfirmed, job.unconfirmedTasks());
    }

    @ParameterizedTest
    @CsvSource({
        "BATCH, 50, RUNNING", // 10 of its 60 s are left, which is less than half of the notice
        "BATCH, 40, STOPPING",
        "SERVICE, 50, STOPPING",
    })
    void evacuationStopsServicesAndTasksThatWouldNotFinish(
            JobSpec.Shape shape, long ranSeconds, Placement.Phase expected) {
        Placement placement = fixture.startAndSend(fixture.openJob(Fixtures.spec(shape, false, false)), machine);
        placement.markRunning(fixture.timers.nowMicros());
        fixture.timers.advance(ranSeconds * SECOND);
        tasks.evacuate(machine, 30 * SECOND);
        assertEquals(expected, placement.phase());
    }

    private List<Placement> startGang() {
        ActiveJob job = fixture.openJob(GANG);
        List<Machine> machines = IntStream.range(0, GANG.tasks())
                .mapToObj(index -> fixture.machine("g-" + index))
                .toList();
        tasks.startGang(job, machines, fixture.timers.nowMicros());
        return List.copyOf(job.placements());
    }

    private static List<Placement.Phase> phases(List<Placement> placements) {
        return placements.stream().map(Placement::phase).distinct().toList();
    }

    @Test
    void tasksOfGangShareOneAttempt() {
        List<Placement> gang = startGang();
        assertEquals(GANG.tasks(), gang.size());
        assertEquals(1, gang.stream().mapToLong(Placement::attempt).distinct().count());
    }

    @Test
    void tasksOfGangAreStoppedTogether() {
        List<Placement> gang = startGang();
        gang.forEach(Placement::markSentDirectly);
        tasks.stop(gang.get(0), 0, "test");
        assertEquals(List.of(Placement.Phase.STOPPING), phases(gang));
    }

    @Test
    void stopClearsAttemptOfGangThatWasNeverSent() {
        List<Placement> gang = startGang();
        tasks.stop(gang.get(0), 0, "test");
        assertEquals(List.of(Placement.Phase.FREED), phases(gang));
        assertEquals(GANG.tasks(), gang.get(0).job().waitingTasks());
        assertNull(gang.get(0).job().gangAttempt());
    }

    @Test
    void lossOfTaskStopsRunningGang() {
        List<Placement> gang = startGang();
        gang.forEach(Placement::markSentDirectly);
        gang.get(0).job().gangAttempt().markRunning();
        tasks.free(gang.get(0), "test");
        assertEquals(List.of(Placement.Phase.STOPPING), phases(gang.subList(1, gang.size())));
    }

    @Test
    void lossOfTaskKeepsFormingGang() {
        List<Placement> gang = startGang();
        gang.forEach(Placement::markSentDirectly);
        tasks.free(gang.get(0), "test");
        assertEquals(List.of(Placement.Phase.SENT), phases(gang.subList(1, gang.size())));
    }

    @Test
    void adoptedNewerAttemptStopsOlderOne() {
        ActiveJob job = fixture.openJob(GANG);
        Placement older = fixture.adopt(job, 0, fixture.machine("g-0"), 1, true);
        Placement newer = fixture.adopt(job, 1, fixture.machine("g-1"), 2, true);
        assertEquals(Placement.Phase.STOPPING, older.phase());
        assertEquals(Placement.Phase.SENT, newer.phase());
    }
}
