package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** In which phases of a recovery batch work is held, and in which it may start. */
class RecoveryPhaseTest {
    @ParameterizedTest(name = "{0}: held {1}, starts {2}")
    @CsvSource({
        "READING, false, false",
        "RECONCILING, true, false",
        "RESUMING_LIVE, true, false",
        "RESUMING_BATCH, false, true",
        "RECOVERED, false, true"
    })
    void batchWorkIsHeldBetweenTheRecordsAndItsStart(RecoveryPhase phase, boolean held, boolean starts) {
        assertEquals(held, phase.isHoldingBatchWork());
        assertEquals(starts, phase.canStartBatchWork());
    }
}
