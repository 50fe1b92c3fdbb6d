package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.granitepath.coordination.model.GangAttempt.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the phases of one attempt of a gang. */
class GangAttemptTest {
    private static final long SECOND = 1_000_000;
    private static final long MAX_INCOMPLETE_MICROS = 10 * SECOND;
    private static final long MAX_WAIT_MICROS = 20 * SECOND;

    private static final String EVENTS = """
            in          markWaiting  markRunning  markStopping  markCompleted  markTaskGone
            FORMING     WAITING      RUNNING      STOPPING      COMPLETING     FORMING
            WAITING     WAITING      RUNNING      STOPPING      COMPLETING     WAITING
            RUNNING     RUNNING      RUNNING      STOPPING      COMPLETING     STOPPING
            STOPPING    STOPPING     STOPPING     STOPPING      COMPLETING     STOPPING
            COMPLETING  COMPLETING   COMPLETING   COMPLETING    COMPLETING     COMPLETING
            """;

    private final GangAttempt attempt = new GangAttempt("run-1", 7);

    static Stream<Arguments> events() {
        return RuleTable.cells(Phase.class, EVENTS);
    }

    /** No event is refused. One that arrives too late, as in an older heartbeat, has no effect on the attempt. */
    @ParameterizedTest(name = "{0}, {1} -> {2}")
    @MethodSource("events")
    void eventLeadsToExpectedPhase(Phase from, String event, String expected) {
        moveTo(from);
        apply(event);
        assertEquals(Phase.valueOf(expected), attempt.phase());
        assertEquals(attempt.phase() == Phase.FORMING || attempt.phase() == Phase.WAITING, attempt.canAddTasks());
        assertEquals(attempt.phase() == Phase.STOPPING || attempt.phase() == Phase.COMPLETING, attempt.isEnding());
    }

    private void moveTo(Phase phase) {
        switch (phase) {
            case FORMING -> {}
            case WAITING -> attempt.markWaiting(SECOND);
            case RUNNING -> attempt.markRunning();
            case STOPPING -> attempt.markStopping("test");
            case COMPLETING -> attempt.markCompleted();
        }
        assertEquals(phase, attempt.phase());
    }

    private void apply(String event) {
        switch (event) {
            case "markWaiting" -> attempt.markWaiting(2 * SECOND);
            case "markRunning" -> attempt.markRunning();
            case "markStopping" -> attempt.markStopping("test");
            case "markCompleted" -> attempt.markCompleted();
            case "markTaskGone" -> attempt.markTaskGone(2 * SECOND);
            default -> throw new IllegalArgumentException(event);
        }
    }

    @Test
    void attemptFormsWaitsRunsAndCompletes() {
        assertEquals(Phase.FORMING, attempt.phase());
        attempt.markWaiting(SECOND);
        assertEquals(Phase.WAITING, attempt.phase());
        attempt.markRunning();
        assertEquals(Phase.RUNNING, attempt.phase());
        attempt.markCompleted();
        assertEquals(Phase.COMPLETING, attempt.phase());
        attempt.markStopping("its job has ended");
        attempt.markTaskGone(2 * SECOND);
        attempt.markRunning();
        assertEquals(Phase.COMPLETING, attempt.phase(), "a completed attempt stays so");
    }

    @Test
    void taskLostBeforeStartMayBeReplacedForLimitedTime() {
        attempt.markWaiting(SECOND);
        attempt.markTaskGone(2 * SECOND);
        assertTrue(attempt.canAddTasks());
        assertFalse(attempt.shouldBeAbandoned(3 * SECOND, MAX_INCOMPLETE_MICROS, MAX_WAIT_MICROS));
        assertTrue(
                attempt.shouldBeAbandoned(13 * SECOND, MAX_INCOMPLETE_MICROS, MAX_WAIT_MICROS), "missing for too long");
        attempt.markAllTasksPlaced();
        assertFalse(attempt.shouldBeAbandoned(13 * SECOND, MAX_INCOMPLETE_MICROS, MAX_WAIT_MICROS));
    }

    @Test
    void attemptIsAbandonedIfReplacementWouldStartTooLate() {
        attempt.markWaiting(SECOND);
        attempt.markTaskGone(20 * SECOND);
        assertTrue(attempt.shouldBeAbandoned(22 * SECOND, MAX_INCOMPLETE_MICROS, MAX_WAIT_MICROS));
    }

    @Test
    void taskLostWhileRunningStopsAttempt() {
        attempt.markRunning();
        attempt.markTaskGone(SECOND);
        assertEquals(Phase.STOPPING, attempt.phase());
        assertFalse(attempt.canAddTasks());
        attempt.markRunning();
        attempt.markWaiting(2 * SECOND);
        assertEquals(Phase.STOPPING, attempt.phase(), "an older heartbeat has no effect");
        assertTrue(attempt.isEnding());
    }

    @Test
    void machinesTriedAreRememberedByTask() {
        attempt.recordPlacement(3, "i-1");
        assertTrue(attempt.hasBeenTriedOn(3, "i-1"));
        assertFalse(attempt.hasBeenTriedOn(3, "i-2"));
        assertFalse(attempt.hasBeenTriedOn(2, "i-1"));
    }
}
