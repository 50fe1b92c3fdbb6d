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

/** The states of one attempt of a gang. */
class GangAttemptTest {
    private static final long SECOND = 1_000_000;
    private static final long PATIENCE = 10 * SECOND;
    private static final long LAST_MOMENT = 20 * SECOND;

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

    /** An older heartbeat never takes an attempt back: none is refused, what comes too late changes nothing. */
    @ParameterizedTest(name = "{0}, {1} -> {2}")
    @MethodSource("events")
    void eachEventInEachPhase(Phase from, String event, String expected) {
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
    void itFormsWaitsRunsAndEnds() {
        assertEquals(Phase.FORMING, attempt.phase());
        attempt.markWaiting(SECOND);
        assertEquals(Phase.WAITING, attempt.phase());
        attempt.markRunning();
        assertEquals(Phase.RUNNING, attempt.phase());
        attempt.markCompleted();
        assertEquals(Phase.COMPLETING, attempt.phase());
        attempt.markStopping("its job is over");
        attempt.markTaskGone(2 * SECOND);
        attempt.markRunning();
        assertEquals(Phase.COMPLETING, attempt.phase(), "what is complete stays so");
    }

    @Test
    void aTaskLostBeforeTheStartMayBeReplacedForAWhile() {
        attempt.markWaiting(SECOND);
        attempt.markTaskGone(2 * SECOND);
        assertTrue(attempt.canAddTasks());
        assertFalse(attempt.shouldBeAbandoned(3 * SECOND, PATIENCE, LAST_MOMENT));
        assertTrue(attempt.shouldBeAbandoned(13 * SECOND, PATIENCE, LAST_MOMENT), "missing for too long");
        attempt.markAllTasksPlaced();
        assertFalse(attempt.shouldBeAbandoned(13 * SECOND, PATIENCE, LAST_MOMENT));
    }

    @Test
    void aReplacementThatComesTooLateIsHopeless() {
        attempt.markWaiting(SECOND);
        attempt.markTaskGone(20 * SECOND);
        assertTrue(attempt.shouldBeAbandoned(22 * SECOND, PATIENCE, LAST_MOMENT));
    }

    @Test
    void aTaskLostWhileRunningEndsTheAttempt() {
        attempt.markRunning();
        attempt.markTaskGone(SECOND);
        assertEquals(Phase.STOPPING, attempt.phase());
        assertFalse(attempt.canAddTasks());
        attempt.markRunning();
        attempt.markWaiting(2 * SECOND);
        assertEquals(Phase.STOPPING, attempt.phase(), "an older heartbeat changes nothing");
        assertTrue(attempt.isEnding());
    }

    @Test
    void aTaskIsNotSentWhereItsStartWouldBeIgnored() {
        attempt.recordPlacement(3, "i-1");
        assertTrue(attempt.hasBeenTriedOn(3, "i-1"));
        assertFalse(attempt.hasBeenTriedOn(3, "i-2"));
        assertFalse(attempt.hasBeenTriedOn(2, "i-1"));
    }
}
