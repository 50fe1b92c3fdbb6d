package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many requests to the cloud are let through. */
class CloudRequestBudgetTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void oneRequestIsFreeAtFirst() {
        CloudRequestBudget budget = new CloudRequestBudget(10, 0);
        assertTrue(budget.tryTake(0));
        assertFalse(budget.tryTake(0));
    }

    @Test
    void itFillsAtAShareOfTheAllowedRate() {
        CloudRequestBudget budget = new CloudRequestBudget(1, 0);
        assertTrue(budget.tryTake(0));
        assertFalse(budget.tryTake(SECOND_MICROS), "0.8 requests a second");
        assertTrue(budget.tryTake(2 * SECOND_MICROS));
    }

    @Test
    void itHoldsOneSecondsWorthAtMost() {
        CloudRequestBudget budget = new CloudRequestBudget(10, 0);
        int taken = 0;
        while (budget.tryTake(3_600 * SECOND_MICROS)) {
            taken++;
        }
        assertEquals(8, taken);
    }

    @Test
    void aLowRateStillHoldsOneRequest() {
        CloudRequestBudget budget = new CloudRequestBudget(0.1, 0);
        assertTrue(budget.tryTake(3_600 * SECOND_MICROS));
        assertFalse(budget.tryTake(3_600 * SECOND_MICROS));
    }
}
