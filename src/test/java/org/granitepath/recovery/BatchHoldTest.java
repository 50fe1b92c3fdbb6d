package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The longest time for which batch work is held, and the texts that tell operators why. */
class BatchHoldTest {
    private static final LiveWorkBacklog BACKLOG = new LiveWorkBacklog(1, 2, 3, 4);
    private static final String SUMMARY = "1 tasks in doubt, 2 to be claimed, 3 sent and not seen yet, 4 getting room";

    private final BatchHold hold = new BatchHold(5_000_000);

    @Test
    void theHoldExpiresAfterItsTimeLimit() {
        hold.begin(100);
        assertEquals(5_000_100, hold.endMicros());
        assertFalse(hold.hasExpired(5_000_099));
        assertTrue(hold.hasExpired(5_000_100));
    }

    @Test
    void aHoldOfZeroExpiresAtOnce() {
        BatchHold none = new BatchHold(0);
        none.begin(100);
        assertTrue(none.hasExpired(100));
        assertEquals("no hold is set", none.expiryReason());
    }

    @Test
    void noLiveWorkIsAwaitedAtFirst() {
        assertEquals(LiveWorkBacklog.NONE.summary(), hold.awaitedLiveWork());
    }

    @Test
    void batchWorkWaitsForTheBacklogOfTheLatestCycle() {
        hold.setBacklog(LiveWorkBacklog.NONE);
        hold.setBacklog(BACKLOG);
        assertEquals(SUMMARY, hold.awaitedLiveWork());
    }

    @Test
    void theExpiryReasonNamesTheBacklog() {
        hold.setBacklog(BACKLOG);
        assertEquals("the longest hold is over, with " + SUMMARY, hold.expiryReason());
    }
}
