package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.granitepath.coordination.model.Placement.Phase;
import org.granitepath.coordination.ports.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.provider.Arguments;

/** Tests the life cycle of one attempt of a task on a machine. */
class PlacementTest extends StateMachineRules<Phase> {
    private static final String STEPS = """
            from      ASSIGNED  SENT  FETCHING  WAITING  RUNNING  STOPPING  FREED
            ASSIGNED  =         yes   yes       yes      yes      yes       yes
            SENT      -         =     yes       yes      yes      yes       yes
            FETCHING  -         -     =         yes      yes      yes       yes
            WAITING   -         -     yes       =        yes      yes       yes
            RUNNING   -         -     yes       yes      =        yes       yes
            STOPPING  -         -     -         -        -        =         yes
            FREED     -         -     -         -        -        -         =
            """;

    private static final String EVENTS = """
            in       markSentInResponse markSentDirectly markFetching markWaiting markRunning markSaving stop     free
            ASSIGNED SENT               SENT             FETCHING     WAITING     RUNNING     STOPPING   STOPPING FREED
            SENT     SENT               SENT             FETCHING     WAITING     RUNNING     STOPPING   STOPPING FREED
            FETCHING refused            refused          FETCHING     WAITING     RUNNING     STOPPING   STOPPING FREED
            WAITING  refused            refused          WAITING      WAITING     RUNNING     STOPPING   STOPPING FREED
            RUNNING  refused            refused          RUNNING      WAITING     RUNNING     STOPPING   STOPPING FREED
            STOPPING refused            refused          STOPPING     STOPPING    STOPPING    STOPPING   STOPPING FREED
            FREED    refused            refused          FREED        refused     refused     refused    refused  FREED
            """;

    private final Machine machine = Fixtures.machine("i-1", "north");
    private final ActiveJob job = Fixtures.job();
    private final Placement placement = Fixtures.placement(job, 3, machine, 11);

    static Stream<Arguments> steps() {
        return RuleTable.steps(Phase.class, STEPS);
    }

    static Stream<Arguments> events() {
        return RuleTable.cells(Phase.class, EVENTS);
    }

    @Override
    Phase phase() {
        return placement.phase();
    }

    @Override
    boolean canTransition(Phase from, Phase next) {
        return from.canTransitionTo(next);
    }

    @Override
    void moveTo(Phase phase) {
        switch (phase) {
            case ASSIGNED -> {}
            case SENT -> placement.markSentDirectly();
            case FETCHING -> placement.markFetching();
            case WAITING -> placement.markWaiting();
            case RUNNING -> placement.markRunning(SECOND);
            case STOPPING -> placement.stop(0, "test");
            case FREED -> placement.free("test");
        }
    }

    @Override
    void apply(String event) {
        switch (event) {
            case "markSentInResponse" -> placement.markSentInResponse();
            case "markSentDirectly" -> placement.markSentDirectly();
            case "markFetching" -> placement.markFetching();
            case "markWaiting" -> placement.markWaiting();
            case "markRunning" -> placement.markRunning(9 * SECOND);
            case "markSaving" -> placement.markSaving();
            case "stop" -> placement.stop(0, "test");
            case "free" -> placement.free("test");
            default -> throw new IllegalArgumentException(event);
        }
    }

    @Test
    void attemptIsMeantForCurrentAgentEpoch() {
        machine.contact().recordMessage(Fixtures.heartbeat(machine, 4, 12));
        assertEquals(4, Fixtures.placement(job, 3, machine, 12).agentEpoch());
    }

    @Test
    void unansweredDirectStartMayBeCarriedOutUnderItsTokenOrOlderOne() {
        machine.joinFleet(7, SECOND);
        placement.markSentDirectly();
        assertFalse(placement.isSentInResponse());
        assertTrue(placement.hasUnacknowledgedStart(6));
        assertTrue(placement.hasUnacknowledgedStart(7));
        assertFalse(placement.hasUnacknowledgedStart(8));
    }

    @Test
    void onlyAnswerToLatestCallCounts() {
        machine.joinFleet(7, SECOND);
        placement.markSentDirectly();
        placement.acknowledgeDirectStart(6);
        assertTrue(placement.hasUnacknowledgedStart(7));
        placement.acknowledgeDirectStart(7);
        assertFalse(placement.hasUnacknowledgedStart(7));
    }

    @Test
    void startInHeartbeatResponseIsNotDirect() {
        machine.joinFleet(7, SECOND);
        placement.markSentInResponse();
        assertTrue(placement.isSentInResponse());
        assertFalse(placement.hasUnacknowledgedStart(7));
        placement.markSentDirectly();
        assertFalse(placement.isSentInResponse());
        assertTrue(placement.hasUnacknowledgedStart(7));
    }

    @Test
    void listedAttemptHasArrived() {
        machine.joinFleet(7, SECOND);
        placement.markSentDirectly();
        assertFalse(placement.hasBeenListed());
        placement.markListed(false);
        assertTrue(placement.hasBeenListed());
        assertFalse(placement.hasUnacknowledgedStart(7));
    }

    @Test
    void ownAttemptIsOnNoOtherMachine() {
        assertTrue(placement.isOnlyOnThisMachine());
        assertFalse(placement.isAdopted());
        placement.markListed(false);
        assertTrue(placement.isOnlyOnThisMachine());
    }

    @Test
    void adoptedAttemptIsOnNoOtherMachineOnceListedUnderCurrentToken() {
        Placement adopted = Placement.adopted(new TaskId("run-1", 4), job, machine, 12, false, SECOND);
        assertEquals(Phase.SENT, adopted.phase());
        assertTrue(adopted.hasBeenListed());
        assertTrue(adopted.isAdopted());
        assertFalse(adopted.isOnlyOnThisMachine());
        adopted.markListed(false);
        assertFalse(adopted.isOnlyOnThisMachine());
        adopted.markListed(true);
        assertTrue(adopted.isOnlyOnThisMachine());
        adopted.markListed(false);
        assertTrue(adopted.isOnlyOnThisMachine(), "a proof stays valid");
    }

    @Test
    void firstRunningHeartbeatSetsStartTime() {
        assertEquals(0, placement.runTimeMicros(5 * SECOND));
        placement.markRunning(5 * SECOND);
        placement.markRunning(6 * SECOND);
        assertTrue(placement.hasRun());
        assertEquals(5 * SECOND, placement.runningSinceMicros());
        assertEquals(3 * SECOND, placement.runTimeMicros(8 * SECOND));
    }

    @Test
    void stoppingTaskStillGetsItsStartTime() {
        placement.stop(0, "test");
        placement.markRunning(5 * SECOND);
        assertEquals(Phase.STOPPING, placement.phase());
        assertEquals(5 * SECOND, placement.runningSinceMicros());
    }

    @Test
    void gracePeriodCanBeShortenedWhileStopping() {
        placement.stop(30 * SECOND, "preempted");
        assertEquals(30 * SECOND, placement.graceMicros());
        placement.shortenGrace(0);
        assertEquals(0, placement.graceMicros());
        assertEquals(Phase.STOPPING, placement.phase());
    }

    @Test
    void placementIsActiveUntilFreed() {
        placement.stop(0, "test");
        assertTrue(placement.isActive());
        placement.free("test");
        assertFalse(placement.isActive());
    }
}
