package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.PREVIOUS_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.TERM_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.heartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the limits on direct calls in flight and the processing of their responses. */
class WorkerCallsTest {
    private final FleetFixture fixture = new FleetFixture();
    private final int maxConcurrentCalls = fixture.config.limits().maxConcurrentCalls();
    private final WorkerCalls calls = fixture.workerCalls;

    private FleetFixture.Call onlyCall() {
        assertEquals(1, fixture.calls.size());
        return fixture.calls.get(0);
    }

    private void startCalls(int count) {
        for (int number = 0; number < count; number++) {
            calls.callWithoutCommands(fixture.readyMachine("m" + number), () -> {});
        }
    }

    @Test
    void callsInFlightAreLimited() {
        startCalls(maxConcurrentCalls - 1);
        assertTrue(calls.canCall());
        startCalls(1);
        assertFalse(calls.canCall());
        fixture.calls.get(0).timeOut();
        assertTrue(calls.canCall(), "one call has ended");
    }

    @Test
    void probesLeaveHalfOfCallsForCommands() {
        startCalls(maxConcurrentCalls / 2 - 1);
        assertTrue(calls.canProbe());
        startCalls(1);
        assertFalse(calls.canProbe());
    }

    @Test
    void callCarriesTokenAndAgentEpochOfMachine() {
        calls.callWithoutCommands(fixture.readyMachine("m"), () -> {});
        assertEquals(TERM_TOKEN, onlyCall().fencingToken());
        assertEquals(AGENT_EPOCH, onlyCall().agentEpoch());
    }

    @Test
    void agentEpochOfMachineTakenOverIsAssumedToBeFirst() {
        calls.callWithoutCommands(fixture.takeOver("m").get(0), () -> {});
        assertEquals(1, onlyCall().agentEpoch());
    }

    @Test
    void startWithoutResponseRequestsNewToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(), List.of(placement), () -> {});
        onlyCall().timeOut();
        assertTrue(machine.inventory().needsNewToken());
        assertTrue(placement.hasUnacknowledgedStart(TERM_TOKEN));
    }

    @Test
    void stopWithoutResponseRequestsNoToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(WorkerCommand.stop(placement.task(), placement.attempt(), 0)), List.of(), () -> {});
        onlyCall().timeOut();
        assertFalse(machine.inventory().needsNewToken());
    }

    @Test
    void startWithResponseCannotBeExecutedLater() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(), List.of(placement), () -> {});
        onlyCall().respond(nextHeartbeat(machine));
        assertFalse(placement.hasUnacknowledgedStart(TERM_TOKEN));
        assertFalse(placement.isActive(), "the response does not list it, so it was not started");
    }

    @Test
    void statusInResponseConfirmsMachine() {
        Machine machine = fixture.takeOver("m").get(0);
        calls.callWithoutCommands(machine, () -> {});
        onlyCall().respond(nextHeartbeat(machine));
        assertEquals(Machine.Phase.READY, machine.phase());
        assertFalse(machine.isAwaitingFirstHeartbeat());
    }

    @ParameterizedTest(name = "executed: {0}, worker knows token {1}")
    @CsvSource({"false, 6, 2", "false, 8, 1", "true, 6, 1"})
    void refusingWorkerIsCalledAgainUnlessItKnowsHigherToken(boolean executed, long knownToken, int callsMade) {
        Machine machine = fixture.takeOver("m").get(0);
        fixture.reconciler.reconcile(machine, heartbeat(machine, AGENT_EPOCH, PREVIOUS_TOKEN), MessageOrigin.HEARTBEAT);
        calls.callWithoutCommands(machine, () -> {});
        if (executed) {
            onlyCall().respond(heartbeat(machine, AGENT_EPOCH, knownToken));
        } else {
            onlyCall().refuse(heartbeat(machine, AGENT_EPOCH, knownToken));
        }
        assertEquals(callsMade, fixture.calls.size());
    }

    @Test
    void tokenIsSentByOneCallAtATime() {
        Machine machine = fixture.readyMachine("m");
        calls.sendToken(machine);
        calls.sendToken(machine);
        onlyCall().timeOut();
        calls.sendToken(machine);
        assertEquals(2, fixture.calls.size());
    }

    @Test
    void responseAfterEndOfTermIsIgnored() {
        List<String> events = new ArrayList<>();
        Machine machine = fixture.takeOver("m").get(0);
        calls.callWithoutCommands(machine, () -> events.add("ended"));
        fixture.termEnded = true;
        onlyCall().respond(heartbeat(machine, AGENT_EPOCH, PREVIOUS_TOKEN));
        assertTrue(machine.contact().agentEpoch() < 0, "response not processed");
        assertEquals(List.of("ended"), events);
    }

    /** Until the worker has a token that no start was sent under, a late copy of a start may be carried out again. */
    @Test
    void tasksOfRestartedWorkerAreFreedOnlyUnderNewToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.startDirectly(fixture.job(JobSpec.Shape.BATCH), machine);
        fixture.reconciler.reconcile(
                machine,
                nextHeartbeat(machine, FleetFixture.status(placement, TaskState.RUNNING)),
                MessageOrigin.HEARTBEAT);
        calls.requestStatus(machine);
        onlyCall().refuse(heartbeat(machine, 1, 0));
        assertTrue(machine.contact().isRestarted());
        fixture.reconciler.reconcile(machine, heartbeat(machine, 1, TERM_TOKEN), MessageOrigin.HEARTBEAT);
        assertTrue(placement.isActive());
        fixture.timers.advance(FleetFixture.SECOND_MICROS);
        assertFalse(machine.contact().isRestarted());
        fixture.reconciler.reconcile(machine, heartbeat(machine, 1, machine.fencingToken()), MessageOrigin.HEARTBEAT);
        assertFalse(placement.isActive());
    }

    @Test
    void responseThatIsNewerThanCallProvesNoRestart() {
        Machine machine = fixture.readyMachine("m");
        calls.requestStatus(machine);
        onlyCall().refuse(nextHeartbeat(machine));
        assertFalse(machine.contact().isRestarted());
    }

    @Test
    void newerMessageUnderLowerTokenProvesRestart() {
        Machine machine = fixture.readyMachine("m");
        fixture.reconciler.reconcile(machine, heartbeat(machine, AGENT_EPOCH, 0), MessageOrigin.HEARTBEAT);
        assertTrue(machine.contact().isRestarted());
        assertTrue(machine.inventory().needsNewToken());
    }
}
