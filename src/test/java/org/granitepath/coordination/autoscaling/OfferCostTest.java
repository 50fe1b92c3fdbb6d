package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** The cost model, on one machine type. */
class OfferCostTest {
    private static final long TASK_MICROS = 100 * Examples.SECOND_MICROS;
    /** A boot of 20 s and 5 GB at 1 GB/s. */
    private static final long READY_MICROS = 25 * Examples.SECOND_MICROS;

    private final OfferCost cost = OfferCost.of(Examples.batch(), TASK_MICROS, 0);

    private static double perTask(OfferCost cost, boolean spot, int tasks) {
        return cost.perTask(Examples.TYPE, spot, tasks, READY_MICROS, 0, 0);
    }

    @Test
    void bootAndImageCountUntilReady() {
        assertEquals(READY_MICROS, cost.readyMicros(Examples.TYPE));
    }

    @Test
    void spotInstancesArePreferredByTheirPrice() {
        assertEquals(3 * perTask(cost, true, 4), perTask(cost, false, 4), 1e-6);
    }

    @Test
    void tasksShareTheCost() {
        assertEquals(4 * perTask(cost, true, 4), perTask(cost, true, 1), 1e-6);
    }

    @Test
    void shortTasksPayTheMinimumCharge() {
        OfferCost instant = OfferCost.of(Examples.batch(), 1, 0);
        OfferCost brief = OfferCost.of(Examples.batch(), 30 * Examples.SECOND_MICROS, 0);
        assertEquals(perTask(instant, false, 1), perTask(brief, false, 1));
    }

    @Test
    void amongEqualsTheZoneWithFewestLaunchesIsCheapest() {
        double second = cost.perTask(Examples.TYPE, true, 4, READY_MICROS, 1, 0);
        assertTrue(perTask(cost, true, 4) < second);
        assertTrue(cost.perTask(Examples.TYPE, true, 4, READY_MICROS, 0, 1) < second);
    }

    @Test
    void whatIsLateAllTheSameWaitsForSpotOrCostsTwice() {
        JobSpec spec = Examples.job(JobSpec.Shape.BATCH, null, true, READY_MICROS + TASK_MICROS);
        OfferCost inTime = OfferCost.of(spec, TASK_MICROS, 0);
        OfferCost late = OfferCost.of(spec, TASK_MICROS, 1);
        assertFalse(inTime.latenessMakesItWait(READY_MICROS, false));
        assertTrue(late.latenessMakesItWait(READY_MICROS, false));
        assertFalse(late.latenessMakesItWait(READY_MICROS, true));
        assertEquals(2 * perTask(inTime, true, 4), perTask(late, true, 4));
    }

    @Test
    void servicesPayForALateStart() {
        JobSpec spec = Examples.job(JobSpec.Shape.SERVICE, null, false, JobSpec.NO_DEADLINE);
        OfferCost service = OfferCost.ofService(spec, 0);
        long laterMicros = READY_MICROS + 120 * Examples.SECOND_MICROS;
        double perPaidMicro = perTask(service, false, 1) / (600 * Examples.SECOND_MICROS + READY_MICROS);
        double laterPerPaidMicro = service.perTask(Examples.TYPE, false, 1, laterMicros, 0, 0)
                / (600 * Examples.SECOND_MICROS + laterMicros);
        assertEquals(3.0, laterPerPaidMicro - perPaidMicro, 1e-6, "one price more for each 120 s");
    }
}
