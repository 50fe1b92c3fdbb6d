package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.PREVIOUS_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.SECOND_MICROS;
import static org.granitepath.coordination.fleet.FleetFixture.exited;
import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the effect of a placed task's status on the task and on its gang, job and machine. */
class TaskStatusUpdaterTest {
    private final FleetFixture fixture = new FleetFixture();
    private final Machine machine = fixture.readyMachine("m");

    private void update(Placement placement, TaskStatus status) {
        fixture.statusUpdater.update(placement.machine(), placement, status, fixture.timers.nowMicros());
    }

    private void update(Placement placement, TaskState state) {
        update(placement, status(placement, state));
    }

    /** Starts a gang of two tasks by direct calls, and returns their placements. */
    private List<Placement> startGang(ActiveJob gang) {
        fixture.tasks.startGang(gang, List.of(machine, fixture.readyMachine("m2")), fixture.timers.nowMicros());
        List<Placement> placements = List.copyOf(gang.placements());
        placements.forEach(Placement::markSentDirectly);
        return placements;
    }

    @Test
    void completedTaskIsDone() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement placement = fixture.startDirectly(job, machine);
        update(placement, exited(placement, ExitCause.DONE));
        assertTrue(job.isDone(placement.task().index()));
        assertFalse(placement.isActive());
    }

    @Test
    void taskOfServiceIsNeverDone() {
        ActiveJob service = fixture.job(JobSpec.Shape.SERVICE);
        Placement placement = fixture.startDirectly(service, machine);
        update(placement, exited(placement, ExitCause.DONE));
        assertFalse(service.isDone(placement.task().index()));
        assertFalse(placement.isActive(), "the task will be started again");
    }

    @Test
    void failedTaskMakesMachineSuspect() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement placement = fixture.startDirectly(job, machine);
        update(placement, exited(placement, ExitCause.FAILED));
        assertTrue(fixture.faults.isSuspect(machine));
        assertEquals(placement.task().index(), job.firstFreedTask());
    }

    /** A task whose start was not sent yet stayed assigned to the faulty machine, which was sent no starts any more. */
    @Test
    void taskNotSentYetLeavesFaultyMachine() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement sent = fixture.startDirectly(job, machine);
        Placement unsent = fixture.tasks.start(job, machine, fixture.timers.nowMicros());
        fixture.faults.recordFailure(machine, Fixtures.job(), fixture.timers.nowMicros());
        update(sent, exited(sent, ExitCause.FAILED));
        assertTrue(machine.isQuarantined());
        assertFalse(unsent.isActive());
        assertTrue(job.hasStartableTask());
    }

    @ParameterizedTest
    @EnumSource(names = {"UNKNOWN_JOB", "INSUFFICIENT_CAPACITY"})
    void refusedStartIsRetriedAfterOneSecond(ExitCause cause) {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement placement = fixture.startDirectly(job, machine);
        update(placement, exited(placement, cause));
        assertEquals(
                fixture.timers.nowMicros() + SECOND_MICROS, job.scheduling().notBeforeMicros());
        assertFalse(fixture.faults.isSuspect(machine));
    }

    @Test
    void jobEndsWithLastTask() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        for (int task = 1; task < job.spec().tasks(); task++) {
            job.markDone(task);
        }
        Placement last = fixture.startDirectly(job, machine);
        update(last, exited(last, ExitCause.DONE));
        assertEquals(ActiveJob.Phase.COMPLETING, job.phase());
    }

    @Test
    void longRunningTaskProvesThatJobIsNotFaulty() {
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        update(placement, TaskState.RUNNING);
        fixture.timers.advance(FaultTracker.HEALTHY_RUN_MICROS - 1);
        update(placement, TaskState.RUNNING);
        assertTrue(fixture.faults.isUnderObservation(placement));
        fixture.timers.advance(1);
        update(placement, TaskState.RUNNING);
        assertFalse(fixture.faults.isUnderObservation(placement));
    }

    @Test
    void runtimeOfTaskObservedFromStartIsRecorded() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement placement = fixture.startDirectly(job, machine);
        update(placement, TaskState.RUNNING);
        fixture.timers.advance(3 * SECOND_MICROS);
        update(placement, exited(placement, ExitCause.DONE));
        assertEquals(3.0 * SECOND_MICROS, job.totalRunMicros());
    }

    @Test
    void runtimeOfAdoptedTaskIsNotRecorded() {
        Machine takenOver = fixture.takeOver("m9").get(0);
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH, 1, PREVIOUS_TOKEN);
        TaskStatus running = status(new TaskId(job.spec().id(), 0), 5, TaskState.RUNNING, ExitCause.NONE);
        fixture.reconciler.reconcile(takenOver, nextHeartbeat(takenOver, running), MessageOrigin.HEARTBEAT);
        Placement adopted = job.placement(0);
        update(adopted, exited(adopted, ExitCause.DONE));
        assertTrue(job.isDone(0));
        assertEquals(0, job.runTimeCount());
    }

    @Test
    void completedTaskOfGangCompletesAllTasks() {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        Placement first = startGang(gang).get(0);
        update(first, exited(first, ExitCause.DONE));
        assertEquals(0, gang.unfinishedTasks());
        assertEquals(GangAttempt.Phase.COMPLETING, gang.gangAttempt().phase());
    }

    @ParameterizedTest
    @CsvSource({"WAITING, WAITING", "RUNNING, RUNNING"})
    void gangAttemptFollowsStateOfItsTasks(TaskState state, GangAttempt.Phase phase) {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        update(startGang(gang).get(0), state);
        assertEquals(phase, gang.gangAttempt().phase());
    }

    @Test
    void olderAttemptDoesNotAffectCurrentOne() {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        Placement older = startGang(gang).get(0);
        gang.beginGangAttempt(older.attempt() + 1);
        update(older, TaskState.RUNNING);
        assertEquals(GangAttempt.Phase.FORMING, gang.gangAttempt().phase());
    }

    @ParameterizedTest
    @EnumSource(names = {"PEER_GONE", "INCOMPLETE"})
    void gangIsStoppedWhenItsAttemptIsOver(ExitCause cause) {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        List<Placement> placements = startGang(gang);
        update(placements.get(0), exited(placements.get(0), cause));
        assertEquals(Placement.Phase.STOPPING, placements.get(1).phase());
        assertEquals(GangAttempt.Phase.STOPPING, gang.gangAttempt().phase());
    }

    @Test
    void savingTaskOfGangStopsAllTasks() {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        List<Placement> placements = startGang(gang);
        placements.forEach(placement -> update(placement, TaskState.RUNNING));
        update(placements.get(0), TaskState.SAVING);
        assertEquals(Placement.Phase.STOPPING, placements.get(1).phase());
        assertEquals(gang.spec().saveDurationMicros(), placements.get(1).graceMicros());
    }

    @Test
    void otherAttemptOfCompletedTaskIsStopped() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH);
        Placement placement = fixture.startDirectly(job, machine);
        fixture.statusUpdater.markCompletedElsewhere(job, placement.task().index());
        assertTrue(job.isDone(placement.task().index()));
        assertEquals(Placement.Phase.STOPPING, placement.phase());
        assertEquals(0, placement.graceMicros());
    }

    @Test
    void gangCompletedElsewhereEndsWithoutStops() {
        ActiveJob gang = fixture.job(JobSpec.Shape.GANG);
        List<Placement> placements = startGang(gang);
        fixture.statusUpdater.markCompletedElsewhere(gang, 0);
        assertEquals(ActiveJob.Phase.COMPLETING, gang.phase());
        assertEquals(Placement.Phase.SENT, placements.get(0).phase(), "its tasks exit by themselves");
    }
}
