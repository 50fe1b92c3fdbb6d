package org.granitepath.coordination.term;

import static org.granitepath.coordination.fleet.FleetFixture.AGENT_EPOCH;
import static org.granitepath.coordination.fleet.FleetFixture.SECOND_MICROS;
import static org.granitepath.coordination.fleet.FleetFixture.TERM_TOKEN;
import static org.granitepath.coordination.fleet.FleetFixture.heartbeat;
import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** The leader's response to heartbeats of machines in its fleet, and of machines that are not. */
class HeartbeatHandlerTest {
    private static final HeartbeatResponse UNAVAILABLE = new HeartbeatResponse.Unavailable();
    private static final TaskId ORPHAN = new TaskId("unrecorded-job", 0);
    private static final WorkerCommand STOP_ORPHAN = WorkerCommand.stop(ORPHAN, 5, 0);

    private final FleetFixture fixture = new FleetFixture();
    private final HeartbeatHandler handler = new HeartbeatHandler(
            fixture.term,
            fixture.replica,
            fixture.fleet,
            fixture.machines,
            fixture.reconciler,
            fixture.machineCommands,
            fixture.workerCalls,
            fixture.loop);

    private static HeartbeatResponse accepted(WorkerCommand... commands) {
        return new HeartbeatResponse.Accepted(TERM_TOKEN, List.of(commands));
    }

    private static TaskStatus orphan() {
        return new TaskStatus(ORPHAN, 5, TaskState.RUNNING, ExitCause.NONE, false);
    }

    @ParameterizedTest(name = "machine that knows fencing token {0}")
    @ValueSource(longs = {0, TERM_TOKEN})
    void anUnknownMachineJoinsUnderTheTokenOfTheTerm(long knownToken) {
        Machine unknown = Fixtures.machine("m", "north");
        assertEquals(accepted(), handler.handle(heartbeat(unknown, AGENT_EPOCH, knownToken)));
        assertEquals(TERM_TOKEN, fixture.fleet.machine("m").fencingToken());
    }

    @Test
    void anUnknownMachineWithAHigherTokenIsRejected() {
        Machine unknown = Fixtures.machine("m", "north");
        assertEquals(UNAVAILABLE, handler.handle(heartbeat(unknown, AGENT_EPOCH, TERM_TOKEN + 1)));
        assertNull(fixture.fleet.machine("m"));
    }

    @Test
    void aLateHeartbeatOfAMachineThatIsGoneIsRejected() {
        Machine machine = fixture.readyMachine("m");
        Heartbeat late = nextHeartbeat(machine);
        fixture.machines.onTerminated("m");
        assertEquals(UNAVAILABLE, handler.handle(late));
        assertNull(fixture.fleet.machine("m"));
    }

    @Test
    void aHeartbeatIsAnsweredWithCleanupCommands() {
        Machine machine = fixture.readyMachine("m");
        assertEquals(accepted(STOP_ORPHAN), handler.handle(nextHeartbeat(machine, orphan())));
        assertEquals(accepted(), handler.handle(nextHeartbeat(machine)), "the orphaned task is not listed any more");
    }

    @Test
    void aHigherTokenCausesAReadOfTheRecords() {
        Machine machine = fixture.readyMachine("m");
        int readsBefore = fixture.storeReadCount();
        assertEquals(UNAVAILABLE, handler.handle(heartbeat(machine, AGENT_EPOCH, TERM_TOKEN + 1)));
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(readsBefore + 1, fixture.storeReadCount());
    }

    @Test
    void aHeartbeatOlderThanTheAnswerToACallIsAnsweredWithTheStops() {
        Machine machine = fixture.readyMachine("m");
        Heartbeat outdated = nextHeartbeat(machine);
        handler.handle(heartbeat(machine, AGENT_EPOCH, TERM_TOKEN, orphan()));
        machine.contact().fence();
        assertEquals(accepted(STOP_ORPHAN), handler.handle(outdated));
        assertFalse(machine.contact().isFenced(), "the response carries the fencing token");
    }

    @Test
    void aHeartbeatOfAnEarlierAgentEpochIsRejected() {
        Machine machine = fixture.readyMachine("m");
        assertEquals(UNAVAILABLE, handler.handle(heartbeat(machine, AGENT_EPOCH - 1, TERM_TOKEN)));
    }

    /** Such a heartbeat is an old copy, or the worker has restarted and must not learn the present token. */
    @Test
    void aWorkerThatCountsAnewWithoutATokenIsAskedForItsStatus() {
        Machine machine = fixture.readyMachine("m");
        assertEquals(UNAVAILABLE, handler.handle(heartbeat(machine, 1, 0)));
        assertEquals(1, fixture.calls.size());
        assertEquals(0, fixture.calls.get(0).fencingToken());
        assertFalse(machine.contact().isRestarted(), "the heartbeat alone proves nothing");
    }

    @Test
    void aRestartedWorkerIsNotAnsweredBeforeItsMachineHasANewToken() {
        Machine machine = fixture.readyMachine("m");
        handler.handle(heartbeat(machine, 1, 0));
        fixture.calls.get(0).refuse(heartbeat(machine, 1, 0));
        assertTrue(machine.contact().isRestarted());
        assertEquals(UNAVAILABLE, handler.handle(heartbeat(machine, 1, 0)));
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(
                new HeartbeatResponse.Accepted(TERM_TOKEN + 1, List.of()), handler.handle(heartbeat(machine, 1, 0)));
    }
}
