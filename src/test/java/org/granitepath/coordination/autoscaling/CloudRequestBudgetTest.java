package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how many requests to the cloud the budget allows. */
class CloudRequestBudgetTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void holdsOneRequestAtFirst() {
        CloudRequestBudget budget = new CloudRequestBudget(10, 0);
        assertTrue(budget.tryAcquire(0));
        assertFalse(budget.tryAcquire(0));
    }

    @Test
    void refillsAtShareOfAllowedRate() {
        CloudRequestBudget budget = new CloudRequestBudget(1, 0);
        assertTrue(budget.tryAcquire(0));
        assertFalse(budget.tryAcquire(SECOND_MICROS), "0.8 requests a second");
        assertTrue(budget.tryAcquire(2 * SECOND_MICROS));
    }

    @Test
    void holdsAtMostRequestsOfOneSecond() {
        CloudRequestBudget budget = new CloudRequestBudget(10, 0);
        int acquired = 0;
        while (budget.tryAcquire(3_600 * SECOND_MICROS)) {
            acquired++;
        }
        assertEquals(8, acquired);
    }

    @Test
    void holdsOneRequestAtLowRate() {
        CloudRequestBudget budget = new CloudRequestBudget(0.1, 0);
        assertTrue(budget.tryAcquire(3_600 * SECOND_MICROS));
        assertFalse(budget.tryAcquire(3_600 * SECOND_MICROS));
    }
}
