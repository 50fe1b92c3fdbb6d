package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.FORMER_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.TERM_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.heartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** What is done about tasks that a message lists, and about placements that it does not list. */
class TaskReconcilerTest {
    private static final long FORMER_ATTEMPT = 5;

    private final FleetFixture fixture = new FleetFixture();

    private void receive(Machine machine, Heartbeat heartbeat) {
        assertTrue(fixture.reconciler.reconcile(machine, heartbeat, MessageOrigin.HEARTBEAT));
    }

    /** The first task of a job that a former leader may have started on the machine. */
    private TaskId claimedByFormerLeader() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH, 1, FORMER_TOKEN);
        return new TaskId(job.spec().id(), 0);
    }

    private ActiveJob jobOf(TaskId task) {
        return fixture.activeJobs.get(task.job());
    }

    // ---- listed ------------------------------------------------------------------------------------------------

    @Test
    void aListedPlacementIsConfirmedOnce() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.FETCHING)));
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        assertEquals(Placement.Phase.RUNNING, placement.phase());
        assertEquals(Map.of(Verdict.CONFIRMED, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void aTaskThatAFormerLeaderStartedIsAdopted() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByFormerLeader();
        receive(machine, nextHeartbeat(machine, status(task, FORMER_ATTEMPT, TaskState.RUNNING, ExitCause.NONE)));
        Placement placement = machine.placement(task);
        assertNotNull(placement);
        assertEquals(FORMER_ATTEMPT, placement.attempt());
        assertTrue(placement.isOnlyOnThisMachine(), "listed under the present token");
        assertEquals(Map.of(Verdict.ADOPTED, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void aTaskListedUnderAFormerTokenMayBeElsewhere() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByFormerLeader();
        TaskStatus running = status(task, FORMER_ATTEMPT, TaskState.RUNNING, ExitCause.NONE);
        receive(machine, heartbeat(machine, AGENT_EPOCH, FORMER_TOKEN, running));
        assertFalse(machine.placement(task).isOnlyOnThisMachine());
    }

    @Test
    void aTaskThatFinishedMeanwhileIsDone() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByFormerLeader();
        receive(machine, nextHeartbeat(machine, status(task, FORMER_ATTEMPT, TaskState.EXITED, ExitCause.DONE)));
        assertTrue(jobOf(task).isDone(0));
        assertNull(machine.placement(task));
        assertEquals(Map.of(Verdict.FINISHED_MEANWHILE, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void anOrphanIsStoppedUntilItIsGoneAndCountedOnce() {
        Machine machine = fixture.readyMachine("m");
        TaskId task = new TaskId("nobody's", 0);
        TaskStatus running = status(task, FORMER_ATTEMPT, TaskState.RUNNING, ExitCause.NONE);
        List<WorkerCommand> stop = List.of(WorkerCommand.stop(task, FORMER_ATTEMPT, 0));
        receive(machine, nextHeartbeat(machine, running));
        assertEquals(stop, machine.cleanupCommands());
        receive(machine, nextHeartbeat(machine, running));
        assertEquals(stop, machine.cleanupCommands(), "repeated");
        receive(machine, nextHeartbeat(machine));
        assertEquals(List.of(), machine.cleanupCommands());
        assertEquals(Map.of(Verdict.UNKNOWN_JOB, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void anExitedAttemptThatNobodyNeedsIsCleared() {
        Machine machine = fixture.readyMachine("m");
        TaskId task = new TaskId("nobody's", 0);
        receive(machine, nextHeartbeat(machine, status(task, FORMER_ATTEMPT, TaskState.EXITED, ExitCause.STOPPED)));
        assertEquals(List.of(WorkerCommand.clear(task, FORMER_ATTEMPT)), machine.cleanupCommands());
    }

    // ---- not listed --------------------------------------------------------------------------------------------

    @Test
    void aPlacementThatIsListedNoMoreIsFreed() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        receive(machine, nextHeartbeat(machine));
        assertFalse(placement.isActive());
        assertEquals(Map.of(Verdict.CONFIRMED, 1, Verdict.LOST, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void aMessageUnderAFormerTokenProvesNothingOfWhatItDoesNotList() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        receive(machine, heartbeat(machine, AGENT_EPOCH, TERM_TOKEN - 1));
        assertTrue(placement.isActive());
    }

    @Test
    void aDirectStartWithoutAnAnswerMayStillBeCarriedOut() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine));
        assertTrue(placement.isActive());
    }

    @Test
    void aStartThatWasLostInAnAnswerRaisesTheToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement =
                fixture.tasks.start(fixture.job(JobSpec.Shape.BATCH), machine, fixture.timers.nowMicros());
        placement.markSentInResponse();
        receive(machine, nextHeartbeat(machine));
        assertFalse(placement.isActive());
        assertTrue(machine.inventory().needsNewToken());
    }

    @Test
    void aTaskThatWasSeenAndIsGoneDoesNot() {
        Machine machine = fixture.readyMachine("m");
        Placement placement =
                fixture.tasks.start(fixture.job(JobSpec.Shape.BATCH), machine, fixture.timers.nowMicros());
        placement.markSentInResponse();
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        receive(machine, nextHeartbeat(machine));
        assertFalse(placement.isActive());
        assertFalse(machine.inventory().needsNewToken());
    }
}
