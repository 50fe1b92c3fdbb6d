package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.granitepath.coordination.model.Machine.Phase;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.provider.Arguments;

/** Tests the life cycle of a machine, and what its events change besides the phase. */
class MachineTest extends StateMachineRules<Phase> {
    private static final String STEPS = """
            from         UNCONFIRMED  READY  DRAINING  TERMINATING  GONE
            UNCONFIRMED  =            yes    -         yes          yes
            READY        yes          =      yes       yes          yes
            DRAINING     -            -      =         yes          yes
            TERMINATING  -            -      -         =            yes
            GONE         -            -      -         -            =
            """;

    private static final String EVENTS = """
            in           confirmTasks  markUnconfirmed  drain        markTerminating  markGone
            UNCONFIRMED  READY         UNCONFIRMED      UNCONFIRMED  TERMINATING      GONE
            READY        READY         UNCONFIRMED      DRAINING     TERMINATING      GONE
            DRAINING     DRAINING      DRAINING         DRAINING     TERMINATING      GONE
            TERMINATING  TERMINATING   TERMINATING      TERMINATING  TERMINATING      GONE
            GONE         GONE          GONE             GONE         refused          GONE
            """;

    private final Machine machine = Fixtures.machine("i-1", "north");

    static Stream<Arguments> steps() {
        return RuleTable.steps(Phase.class, STEPS);
    }

    static Stream<Arguments> events() {
        return RuleTable.cells(Phase.class, EVENTS);
    }

    @Override
    Phase phase() {
        return machine.phase();
    }

    @Override
    boolean canTransition(Phase from, Phase next) {
        return from.canTransitionTo(next);
    }

    @Override
    void moveTo(Phase phase) {
        switch (phase) {
            case UNCONFIRMED -> {}
            case READY -> machine.confirmTasks();
            case DRAINING -> {
                machine.confirmTasks();
                machine.drain("test");
            }
            case TERMINATING -> machine.markTerminating("test");
            case GONE -> machine.markGone("test");
        }
    }

    @Override
    void apply(String event) {
        switch (event) {
            case "confirmTasks" -> machine.confirmTasks();
            case "markUnconfirmed" -> machine.markUnconfirmed(9 * SECOND, "test");
            case "drain" -> machine.drain("test");
            case "markTerminating" -> machine.markTerminating("test");
            case "markGone" -> machine.markGone("test");
            default -> throw new IllegalArgumentException(event);
        }
    }

    @Test
    void secondMarkUnconfirmedKeepsFirstTime() {
        machine.confirmTasks();
        machine.markUnconfirmed(3 * SECOND, "fencing token raised");
        machine.markUnconfirmed(4 * SECOND, "fencing token raised");
        assertEquals(3 * SECOND, machine.unconfirmedSinceMicros());
    }

    @Test
    void markUnconfirmedHasNoEffectOnDrainingMachine() {
        machine.joinFleet(7, SECOND);
        machine.confirmTasks();
        machine.drain("test");
        machine.markUnconfirmed(4 * SECOND, "test");
        assertEquals(SECOND, machine.unconfirmedSinceMicros());
    }

    @Test
    void machineIsSchedulableOnceConfirmedAndRecorded() {
        machine.joinFleet(7, SECOND);
        assertEquals(7, machine.fencingToken());
        assertFalse(machine.isSchedulable());
        machine.confirmTasks();
        assertFalse(machine.isSchedulable(), "its row is not stored");
        machine.inventory().markRecorded();
        assertTrue(machine.isSchedulable());
        machine.inventory().requireNewToken();
        assertFalse(machine.isSchedulable(), "a higher fencing token is required");
        machine.inventory().applyRaisedToken(8);
        assertTrue(machine.isSchedulable());
        machine.setType(null);
        assertFalse(machine.isSchedulable(), "its type is not known");
        machine.setType(Fixtures.TYPE);
        machine.drain("test");
        assertFalse(machine.isSchedulable());
    }

    @Test
    void cleanupTokenIsDeferredUntilRequiredNow() {
        machine.inventory().requireTokenForCleanup();
        assertFalse(machine.inventory().needsNewToken());
        machine.inventory().requireCleanupTokenNow();
        assertTrue(machine.inventory().needsNewToken());
        machine.inventory().applyRaisedToken(8);
        assertFalse(machine.inventory().needsNewToken());
        assertFalse(machine.inventory().needsTokenForCleanup());
        assertEquals(8, machine.fencingToken());
    }

    @Test
    void takenOverMachineIsAwaitedUntilResolved() {
        machine.takeOver(SECOND, 30 * SECOND);
        assertTrue(machine.isAwaitingFirstHeartbeat());
        assertEquals(30 * SECOND, machine.contact().leaseExpiryMicros());
        assertEquals(SECOND, machine.contact().lastHeartbeatMicros());
        assertEquals(SECOND, machine.unconfirmedSinceMicros());
        assertEquals(SECOND, machine.idleSinceMicros());
        machine.resolveTakeover();
        assertFalse(machine.isAwaitingFirstHeartbeat());
    }

    @Test
    void waitingTimesStartAnewAfterUnresponsivePeriod() {
        machine.joinFleet(7, SECOND);
        machine.recordHeartbeat(false, 5 * SECOND);
        assertEquals(SECOND, machine.idleSinceMicros());
        assertEquals(SECOND, machine.unconfirmedSinceMicros());
        machine.recordHeartbeat(true, 50 * SECOND);
        assertEquals(50 * SECOND, machine.idleSinceMicros());
        assertEquals(50 * SECOND, machine.unconfirmedSinceMicros());
        assertEquals(50 * SECOND, machine.contact().lastHeartbeatMicros());
    }

    @Test
    void findingsAreKeptUntilNextMessage() {
        machine.addCleanupCommand(WorkerCommand.stop(new TaskId("run-1", 0), 3, 0));
        machine.addUnconfirmedTask();
        assertEquals(1, machine.cleanupCommands().size());
        assertFalse(machine.isEmpty(), "an unconfirmed task must not be cut short");
        machine.clearFindings();
        assertEquals(List.of(), machine.cleanupCommands());
        assertTrue(machine.isEmpty());
    }

    @Test
    void leaseExpiryDropsCleanupCommands() {
        machine.contact().recordMessage(Fixtures.heartbeat(machine, 4, 12));
        machine.addCleanupCommand(WorkerCommand.stop(new TaskId("run-1", 0), 3, 0));
        machine.expireLease();
        assertEquals(List.of(), machine.cleanupCommands());
        assertEquals(5, machine.contact().agentEpoch());
    }

    @Test
    void machineIsIdleSinceItsLastPlacementWasRemoved() {
        ActiveJob job = Fixtures.job();
        Placement first = Fixtures.placement(job, 0, machine, 1);
        Placement second = Fixtures.placement(job, 1, machine, 2);
        machine.add(first);
        machine.add(second);
        assertEquals(List.of(first, second), List.copyOf(machine.placements()));
        assertEquals(2_000, machine.capacity().freeCpuMillis());
        machine.remove(first, 3 * SECOND);
        assertEquals(0, machine.idleSinceMicros());
        machine.remove(second, 4 * SECOND);
        machine.remove(second, 5 * SECOND);
        assertEquals(4 * SECOND, machine.idleSinceMicros());
        assertEquals(4_000, machine.capacity().freeCpuMillis(), "released once");
    }

    @Test
    void removingEarlierAttemptKeepsLaterOne() {
        ActiveJob job = Fixtures.job();
        Placement earlier = Fixtures.placement(job, 0, machine, 1);
        Placement later = Fixtures.placement(job, 0, machine, 2);
        machine.add(later);
        machine.remove(earlier, 3 * SECOND);
        assertSame(later, machine.placement(later.task()));
    }

    @Test
    void slotsBesideServicesIgnoreOtherTasks() {
        JobSpec service = Fixtures.spec(JobSpec.Shape.SERVICE, false, false);
        machine.add(Fixtures.placement(Fixtures.job(), 0, machine, 1));
        assertEquals(4, machine.slotsBesideServices(service));
        machine.add(Fixtures.placement(Fixtures.job(service, 0, ProgressRecord.empty()), 1, machine, 2));
        assertEquals(3, machine.slotsBesideServices(service));
    }

    @Test
    void reservationEndsOnlyForItsOwnGang() {
        ActiveJob gang = Fixtures.job();
        ActiveJob other = Fixtures.job();
        machine.reserveFor(gang);
        machine.endReservationFor(other);
        assertSame(gang, machine.reservedFor());
        machine.endReservationFor(gang);
        assertNull(machine.reservedFor());
    }

    @Test
    void imageIsFetchingUntilTaskWithItHasRun() {
        Placement placement = Fixtures.placement(Fixtures.job(), 0, machine, 1);
        machine.add(placement);
        assertTrue(machine.isFetching("image"));
        assertFalse(machine.isFetching("other"));
        placement.markRunning(3 * SECOND);
        assertFalse(machine.isFetching("image"));
    }
}
