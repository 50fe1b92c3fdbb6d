package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.FORMER_TOKEN;
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
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How many direct calls may be under way, and what their responses mean. */
class WorkerCallsTest {
    private final FleetFixture fixture = new FleetFixture();
    private final int callsAtOnce = fixture.config.limits().maxConcurrentCalls();
    private final WorkerCalls calls = fixture.workerCalls;

    private FleetFixture.Call onlyCall() {
        assertEquals(1, fixture.calls.size());
        return fixture.calls.get(0);
    }

    private void beginCalls(int count) {
        for (int number = 0; number < count; number++) {
            calls.callWithoutCommands(fixture.readyMachine("m" + number), () -> {});
        }
    }

    @Test
    void onlySoManyCallsAreUnderWayAtOnce() {
        beginCalls(callsAtOnce - 1);
        assertTrue(calls.mayCall());
        beginCalls(1);
        assertFalse(calls.mayCall());
        fixture.calls.get(0).timeOut();
        assertTrue(calls.mayCall(), "one has ended");
    }

    @Test
    void probesLeaveHalfOfTheCallsForCommands() {
        beginCalls(callsAtOnce / 2 - 1);
        assertTrue(calls.mayProbe());
        beginCalls(1);
        assertFalse(calls.mayProbe());
    }

    @Test
    void aCallIsMadeUnderTheMachinesTokenForItsAgentEpoch() {
        calls.callWithoutCommands(fixture.readyMachine("m"), () -> {});
        assertEquals(TERM_TOKEN, onlyCall().fencingToken());
        assertEquals(AGENT_EPOCH, onlyCall().agentEpoch());
    }

    @Test
    void theFirstAgentEpochIsGuessedOfAMachineTakenOver() {
        calls.callWithoutCommands(fixture.takeOver("m").get(0), () -> {});
        assertEquals(1, onlyCall().agentEpoch());
    }

    @Test
    void aStartWithoutAnAnswerRaisesTheToken() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(), List.of(placement), () -> {});
        onlyCall().timeOut();
        assertTrue(machine.inventory().needsNewToken());
        assertTrue(placement.hasUnacknowledgedStart(TERM_TOKEN));
    }

    @Test
    void aStopWithoutAnAnswerDoesNot() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(WorkerCommand.stop(placement.task(), placement.attempt(), 0)), List.of(), () -> {});
        onlyCall().timeOut();
        assertFalse(machine.inventory().needsNewToken());
    }

    @Test
    void anAnsweredStartCannotBeCarriedOutLate() {
        Machine machine = fixture.readyMachine("m");
        Placement placement = fixture.started(fixture.job(JobSpec.Shape.BATCH), machine);
        calls.call(machine, List.of(), List.of(placement), () -> {});
        onlyCall().answer(nextHeartbeat(machine));
        assertFalse(placement.hasUnacknowledgedStart(TERM_TOKEN));
        assertFalse(placement.isActive(), "the answer does not list it, so it was not started");
    }

    @Test
    void theStatusInAResponseConfirmsTheMachine() {
        Machine machine = fixture.takeOver("m").get(0);
        calls.callWithoutCommands(machine, () -> {});
        onlyCall().answer(nextHeartbeat(machine));
        assertEquals(Machine.Phase.READY, machine.phase());
        assertFalse(machine.isAwaitingFirstHeartbeat());
    }

    @ParameterizedTest(name = "executed: {0}, worker knows token {1}")
    @CsvSource({"false, 6, 2", "false, 8, 1", "true, 6, 1"})
    void aWorkerThatRefusedIsCalledAgainUnlessItKnowsAHigherToken(boolean executed, long knownToken, int callsMade) {
        Machine machine = fixture.takeOver("m").get(0);
        fixture.reconciler.reconcile(machine, heartbeat(machine, AGENT_EPOCH, FORMER_TOKEN), MessageOrigin.HEARTBEAT);
        calls.callWithoutCommands(machine, () -> {});
        if (executed) {
            onlyCall().answer(heartbeat(machine, AGENT_EPOCH, knownToken));
        } else {
            onlyCall().refuse(heartbeat(machine, AGENT_EPOCH, knownToken));
        }
        assertEquals(callsMade, fixture.calls.size());
    }

    @Test
    void aMachineIsShownItsTokenByOneCallAtATime() {
        Machine machine = fixture.readyMachine("m");
        calls.showToken(machine);
        calls.showToken(machine);
        onlyCall().timeOut();
        calls.showToken(machine);
        assertEquals(2, fixture.calls.size());
    }

    @Test
    void afterTheTermAResponseMeansNothing() {
        List<String> events = new ArrayList<>();
        Machine machine = fixture.takeOver("m").get(0);
        calls.callWithoutCommands(machine, () -> events.add("ended"));
        fixture.ended = true;
        onlyCall().answer(heartbeat(machine, AGENT_EPOCH, FORMER_TOKEN));
        assertTrue(machine.contact().agentEpoch() < 0, "not taken in");
        assertEquals(List.of("ended"), events);
    }
}
