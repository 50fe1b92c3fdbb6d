package org.granitepath.coordination.term;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.SECOND_MICROS;
import static org.granitepath.coordination.fleet.FleetFixture.TERM_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.heartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.granitepath.coordination.fleet.FleetFixture;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the leader answers to the heartbeat of a machine that it knows, or does not know. */
class HeartbeatHandlerTest {
    private static final HeartbeatResponse UNAVAILABLE = new HeartbeatResponse.Unavailable();
    private static final TaskId ORPHAN = new TaskId("nobody's", 0);
    private static final WorkerCommand STOP_ORPHAN = WorkerCommand.stop(ORPHAN, 5, 0);

    private final FleetFixture fixture = new FleetFixture();
    private final HeartbeatHandler handler = new HeartbeatHandler(
            fixture.term,
            fixture.replica,
            fixture.fleet,
            fixture.machines,
            fixture.reconciler,
            fixture.machineCommands,
            fixture.loop);

    private static HeartbeatResponse accepted(WorkerCommand... commands) {
        return new HeartbeatResponse.Accepted(TERM_TOKEN, List.of(commands));
    }

    private static TaskStatus orphan() {
        return new TaskStatus(ORPHAN, 5, TaskState.RUNNING, ExitCause.NONE, false);
    }

    // ---- machines that are not in the fleet ----------------------------------------------------------------------

    @ParameterizedTest(name = "that knows token {0}")
    @ValueSource(longs = {0, TERM_TOKEN})
    void anUnknownMachineJoinsUnderTheTokenOfTheTerm(long knownToken) {
        Machine unknown = Fixtures.machine("m", "north");
        assertEquals(accepted(), handler.answer(heartbeat(unknown, AGENT_EPOCH, knownToken)));
        assertEquals(TERM_TOKEN, fixture.fleet.machine("m").fencingToken());
    }

    @Test
    void anUnknownMachineOfASuccessorIsTurnedAway() {
        Machine unknown = Fixtures.machine("m", "north");
        assertEquals(UNAVAILABLE, handler.answer(heartbeat(unknown, AGENT_EPOCH, TERM_TOKEN + 1)));
        assertNull(fixture.fleet.machine("m"));
    }

    @Test
    void aLateCopyOfAMachineThatIsGoneIsTurnedAway() {
        Machine machine = fixture.readyMachine("m");
        Heartbeat late = nextHeartbeat(machine);
        fixture.machines.onTerminated("m");
        assertEquals(UNAVAILABLE, handler.answer(late));
        assertNull(fixture.fleet.machine("m"));
    }

    // ---- machines of the fleet -----------------------------------------------------------------------------------

    @Test
    void aHeartbeatIsAnsweredWithWhatItCallsFor() {
        Machine machine = fixture.readyMachine("m");
        assertEquals(accepted(STOP_ORPHAN), handler.answer(nextHeartbeat(machine, orphan())));
        assertEquals(accepted(), handler.answer(nextHeartbeat(machine)), "the stop has worked");
    }

    @Test
    void aHigherTokenIsAReasonToReadTheRecords() {
        Machine machine = fixture.readyMachine("m");
        int readsBefore = fixture.storeReadCount();
        assertEquals(UNAVAILABLE, handler.answer(heartbeat(machine, AGENT_EPOCH, TERM_TOKEN + 1)));
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(readsBefore + 1, fixture.storeReadCount());
    }

    @Test
    void aHeartbeatOvertakenByTheAnswerToACallIsAnsweredWithTheStops() {
        Machine machine = fixture.readyMachine("m");
        Heartbeat overtaken = nextHeartbeat(machine);
        handler.answer(heartbeat(machine, AGENT_EPOCH, TERM_TOKEN, orphan()));
        machine.contact().fence();
        assertEquals(accepted(STOP_ORPHAN), handler.answer(overtaken));
        assertFalse(machine.contact().isFenced(), "the answer shows the token");
    }

    @Test
    void aHeartbeatOfAFormerAgentEpochIsTurnedAway() {
        Machine machine = fixture.readyMachine("m");
        assertEquals(UNAVAILABLE, handler.answer(heartbeat(machine, AGENT_EPOCH - 1, TERM_TOKEN)));
    }
}
