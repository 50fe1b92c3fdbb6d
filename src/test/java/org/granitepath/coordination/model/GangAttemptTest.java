package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.model.GangAttempt.Phase;
import org.junit.jupiter.api.Test;

/** The states of one attempt of a gang. */
class GangAttemptTest {
    private static final long SECOND = 1_000_000;
    private static final long PATIENCE = 10 * SECOND;
    private static final long LAST_MOMENT = 20 * SECOND;

    private final GangAttempt attempt = new GangAttempt("run-1", 7);

    @Test
    void itFormsWaitsRunsAndEnds() {
        assertEquals(Phase.FORMING, attempt.phase());
        attempt.waiting(SECOND);
        assertEquals(Phase.WAITING, attempt.phase());
        attempt.running();
        assertEquals(Phase.RUNNING, attempt.phase());
        attempt.completed();
        assertEquals(Phase.ENDING, attempt.phase());
        attempt.stopping("its job is over");
        attempt.taskGone(2 * SECOND);
        attempt.running();
        assertEquals(Phase.ENDING, attempt.phase(), "what is complete stays so");
    }

    @Test
    void aTaskLostBeforeTheStartMayBeReplacedForAWhile() {
        attempt.waiting(SECOND);
        attempt.taskGone(2 * SECOND);
        assertTrue(attempt.mayBeCompleted());
        assertFalse(attempt.isHopeless(3 * SECOND, PATIENCE, LAST_MOMENT));
        assertTrue(attempt.isHopeless(13 * SECOND, PATIENCE, LAST_MOMENT), "missing for too long");
        attempt.complete();
        assertFalse(attempt.isHopeless(13 * SECOND, PATIENCE, LAST_MOMENT));
    }

    @Test
    void aReplacementThatComesTooLateIsHopeless() {
        attempt.waiting(SECOND);
        attempt.taskGone(20 * SECOND);
        assertTrue(attempt.isHopeless(22 * SECOND, PATIENCE, LAST_MOMENT));
    }

    @Test
    void aTaskLostWhileRunningEndsTheAttempt() {
        attempt.running();
        attempt.taskGone(SECOND);
        assertEquals(Phase.STOPPING, attempt.phase());
        assertFalse(attempt.mayBeCompleted());
        attempt.running();
        attempt.waiting(2 * SECOND);
        assertEquals(Phase.STOPPING, attempt.phase(), "an older report changes nothing");
        assertTrue(attempt.isEnding());
    }

    @Test
    void aTaskIsNotSentWhereItsStartWouldBeIgnored() {
        attempt.placed(3, "i-1");
        assertTrue(attempt.wasTriedOn(3, "i-1"));
        assertFalse(attempt.wasTriedOn(3, "i-2"));
        assertFalse(attempt.wasTriedOn(2, "i-1"));
    }
}
