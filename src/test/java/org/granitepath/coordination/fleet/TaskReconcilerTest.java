package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.PREVIOUS_TOKEN;
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

/** Tests the handling of tasks that a worker's message lists, and of placements that it does not list. */
class TaskReconcilerTest {
    private static final long PREVIOUS_ATTEMPT = 5;

    private final FleetFixture fixture = new FleetFixture();

    private void receive(Machine machine, Heartbeat heartbeat) {
        assertTrue(fixture.reconciler.reconcile(machine, heartbeat, MessageOrigin.HEARTBEAT));
    }

    /** Opens a job whose first task was claimed, and possibly started, by a previous leader, and returns that task. */
    private TaskId claimedByPreviousLeader() {
        ActiveJob job = fixture.job(JobSpec.Shape.BATCH, 1, PREVIOUS_TOKEN);
        return new TaskId(job.spec().id(), 0);
    }

    private ActiveJob jobOf(TaskId task) {
        return fixture.activeJobs.get(task.job());
    }

    @Test
    void listedPlacementIsConfirmedOnce() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.FETCHING)));
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        assertEquals(Placement.Phase.RUNNING, placement.phase());
        assertEquals(Map.of(Verdict.CONFIRMED, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void taskStartedByPreviousLeaderIsAdopted() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByPreviousLeader();
        receive(machine, nextHeartbeat(machine, status(task, PREVIOUS_ATTEMPT, TaskState.RUNNING, ExitCause.NONE)));
        Placement placement = machine.placement(task);
        assertNotNull(placement);
        assertEquals(PREVIOUS_ATTEMPT, placement.attempt());
        assertTrue(placement.isOnlyOnThisMachine(), "listed under the current token");
        assertEquals(Map.of(Verdict.ADOPTED, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void taskListedUnderPreviousTokenMayBeOnOtherMachine() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByPreviousLeader();
        TaskStatus running = status(task, PREVIOUS_ATTEMPT, TaskState.RUNNING, ExitCause.NONE);
        receive(machine, heartbeat(machine, AGENT_EPOCH, PREVIOUS_TOKEN, running));
        assertFalse(machine.placement(task).isOnlyOnThisMachine());
    }

    @Test
    void taskCompletedByUnknownAttemptIsDone() {
        Machine machine = fixture.takeOver("m").get(0);
        TaskId task = claimedByPreviousLeader();
        receive(machine, nextHeartbeat(machine, status(task, PREVIOUS_ATTEMPT, TaskState.EXITED, ExitCause.DONE)));
        assertTrue(jobOf(task).isDone(0));
        assertNull(machine.placement(task));
        assertEquals(Map.of(Verdict.FINISHED_MEANWHILE, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void orphanIsStoppedRepeatedlyAndCountedOnce() {
        Machine machine = fixture.readyMachine("m");
        TaskId task = new TaskId("nobody's", 0);
        TaskStatus running = status(task, PREVIOUS_ATTEMPT, TaskState.RUNNING, ExitCause.NONE);
        List<WorkerCommand> stop = List.of(WorkerCommand.stop(task, PREVIOUS_ATTEMPT, 0));
        receive(machine, nextHeartbeat(machine, running));
        assertEquals(stop, machine.cleanupCommands());
        receive(machine, nextHeartbeat(machine, running));
        assertEquals(stop, machine.cleanupCommands(), "repeated");
        receive(machine, nextHeartbeat(machine));
        assertEquals(List.of(), machine.cleanupCommands());
        assertEquals(Map.of(Verdict.UNKNOWN_JOB, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void exitedAttemptOfUnknownJobIsCleared() {
        Machine machine = fixture.readyMachine("m");
        TaskId task = new TaskId("nobody's", 0);
        receive(machine, nextHeartbeat(machine, status(task, PREVIOUS_ATTEMPT, TaskState.EXITED, ExitCause.STOPPED)));
        assertEquals(List.of(WorkerCommand.clear(task, PREVIOUS_ATTEMPT)), machine.cleanupCommands());
    }

    @Test
    void placementThatIsNoLongerListedIsFreed() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        receive(machine, nextHeartbeat(machine));
        assertFalse(placement.isActive());
        assertEquals(Map.of(Verdict.CONFIRMED, 1, Verdict.LOST, 1), fixture.plan.taskCountsByVerdict());
    }

    @Test
    void messageUnderPreviousTokenFreesNoPlacement() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine, status(placement, TaskState.RUNNING)));
        receive(machine, heartbeat(machine, AGENT_EPOCH, TERM_TOKEN - 1));
        assertTrue(placement.isActive());
    }

    @Test
    void directStartThatMayStillBeExecutedIsNotFreed() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        receive(machine, nextHeartbeat(machine));
        assertTrue(placement.isActive());
    }

    @Test
    void startLostInHeartbeatResponseRequestsNewToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement =
                fixture.tasks.start(fixture.job(JobSpec.Shape.BATCH), machine, fixture.timers.nowMicros());
        placement.markSentInResponse();
        receive(machine, nextHeartbeat(machine));
        assertFalse(placement.isActive());
        assertTrue(machine.inventory().needsNewToken());
    }

    @Test
    void lostTaskThatWasListedBeforeRequestsNoToken() {
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
