package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The words in which operators read what live work still waits for. */
class LiveWorkBacklogTest {
    @Test
    void theSummaryStaysAsOperatorsKnowIt() {
        assertEquals(
                "1 tasks in doubt, 2 to be claimed, 3 sent and not seen yet, 4 getting room",
                new LiveWorkBacklog(1, 2, 3, 4).summary());
    }

    @Test
    void thePlanTellsItWhileItHoldsBatchWork() {
        RecoveryPlan plan = new RecoveryPlan(7, 5_000_000, RecoveryTracer.NONE);
        assertEquals("nothing", plan.awaitedLiveWork());
        plan.takeOverMachine("a", new MachineProfile("small", "north", false));
        plan.onRecordsRead(9, 0);
        plan.onCycleEnded(new LiveWorkBacklog(2, 0, 1, 0));
        assertEquals(
                "2 tasks in doubt, 0 to be claimed, 1 sent and not seen yet, 0 getting room", plan.awaitedLiveWork());
    }
}
