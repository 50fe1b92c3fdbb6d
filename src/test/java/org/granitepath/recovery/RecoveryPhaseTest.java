package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The phases of a recovery in which batch work is held, and those in which it may start. */
class RecoveryPhaseTest {
    @ParameterizedTest(name = "{0}: held {1}, may start {2}")
    @CsvSource({
        "READING, false, false",
        "RECONCILING, true, false",
        "RESUMING_LIVE, true, false",
        "RESUMING_BATCH, false, true",
        "RECOVERED, false, true"
    })
    void batchWorkIsHeldAfterTheRecordsAreReadUntilItMayStart(RecoveryPhase phase, boolean held, boolean canStart) {
        assertEquals(held, phase.isBatchWorkHeld());
        assertEquals(canStart, phase.canStartBatchWork());
    }
}
