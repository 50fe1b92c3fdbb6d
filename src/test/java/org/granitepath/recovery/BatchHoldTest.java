package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long batch work is held at most, and in which words operators read why. */
class BatchHoldTest {
    private static final LiveWorkBacklog BACKLOG = new LiveWorkBacklog(1, 2, 3, 4);
    private static final String SUMMARY = "1 tasks in doubt, 2 to be claimed, 3 sent and not seen yet, 4 getting room";

    private final BatchHold hold = new BatchHold(5_000_000);

    @Test
    void itIsDueWhenItHasLastedForAsLongAsItMay() {
        hold.begin(100);
        assertEquals(5_000_100, hold.endsMicros());
        assertFalse(hold.isDue(5_000_099));
        assertTrue(hold.isDue(5_000_100));
    }

    @Test
    void itIsDueAtOnceWhenNoneIsSet() {
        BatchHold none = new BatchHold(0);
        none.begin(100);
        assertTrue(none.isDue(100));
        assertEquals("no hold is set", none.reasonToEnd());
    }

    @Test
    void nothingOfTheLiveWorkIsLeftAtFirst() {
        assertEquals(LiveWorkBacklog.NONE.summary(), hold.waitingFor());
    }

    @Test
    void itWaitsForWhatTheLatestCycleHasLeft() {
        hold.waitsFor(LiveWorkBacklog.NONE);
        hold.waitsFor(BACKLOG);
        assertEquals(SUMMARY, hold.waitingFor());
    }

    @Test
    void theReasonToEndTellsWhatIsLeft() {
        hold.waitsFor(BACKLOG);
        assertEquals("the longest hold is over, with " + SUMMARY, hold.reasonToEnd());
    }
}
