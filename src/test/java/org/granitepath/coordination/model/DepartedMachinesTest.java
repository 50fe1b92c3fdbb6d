package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.ports.Heartbeat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which heartbeats are recognized as delayed copies from machines that left the fleet. */
class DepartedMachinesTest {
    private final DepartedMachines departed = new DepartedMachines();

    private static Heartbeat heartbeat(String machine, long agentEpoch) {
        return Fixtures.heartbeat(Fixtures.machine(machine, "north"), agentEpoch, 12);
    }

    @Test
    void heartbeatOfMachineThatNeverLeftIsNotRejected() {
        departed.add("i-1", 4);
        assertFalse(departed.isFromDepartedMachine(heartbeat("i-2", 0)));
    }

    @ParameterizedTest(name = "left in epoch 4, heartbeat of epoch {0}: {1}")
    @CsvSource({"3, true", "4, true", "5, false"})
    void onlyWorkerWithLaterAgentEpochMayJoinAgain(long agentEpoch, boolean delayedCopy) {
        departed.add("i-1", 4);
        assertEquals(delayedCopy, departed.isFromDepartedMachine(heartbeat("i-1", agentEpoch)));
    }

    @Test
    void noWorkerMayJoinUnderNameOfTerminatedMachine() {
        departed.addPermanently("i-1");
        assertTrue(departed.isFromDepartedMachine(heartbeat("i-1", Long.MAX_VALUE)));
    }

    @Test
    void machineThatLeftFirstIsEvictedFirst() {
        for (int i = 0; i <= DepartedMachines.MAX_REMEMBERED; i++) {
            departed.add("i-" + i, 4);
        }
        assertFalse(departed.isFromDepartedMachine(heartbeat("i-0", 4)));
        assertTrue(departed.isFromDepartedMachine(heartbeat("i-1", 4)));
    }
}
