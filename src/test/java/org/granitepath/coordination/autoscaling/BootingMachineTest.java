package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** From when on a machine that boots is not counted on, and is terminated. The type boots for 20 s. */
class BootingMachineTest {
    private final BootingMachine machine = new BootingMachine("i-1", Examples.TYPE, "a", false, 0);

    @Test
    void itIsOverdueAfterMoreThanItsUsualTime() {
        assertFalse(machine.overdue(32 * Examples.SECOND_MICROS));
        assertTrue(machine.overdue(32 * Examples.SECOND_MICROS + 1));
    }

    @Test
    void itHasFailedAfterThreeTimesThatAndAGracePeriod() {
        assertFalse(machine.failedToBoot(90 * Examples.SECOND_MICROS));
        assertTrue(machine.failedToBoot(90 * Examples.SECOND_MICROS + 1));
    }
}
