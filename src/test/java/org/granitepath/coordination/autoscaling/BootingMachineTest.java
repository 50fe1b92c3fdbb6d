package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a booting machine is overdue and when it counts as failed. The machine type boots in 20 s. */
class BootingMachineTest {
    private final BootingMachine machine = new BootingMachine("i-1", Examples.TYPE, "a", false, 0);

    @Test
    void isOverdueAfterMultipleOfBootTime() {
        assertFalse(machine.isOverdue(32 * Examples.SECOND_MICROS));
        assertTrue(machine.isOverdue(32 * Examples.SECOND_MICROS + 1));
    }

    @Test
    void hasFailedAfterThreeBootTimesAndGracePeriod() {
        assertFalse(machine.hasFailedToBoot(90 * Examples.SECOND_MICROS));
        assertTrue(machine.hasFailedToBoot(90 * Examples.SECOND_MICROS + 1));
    }
}
