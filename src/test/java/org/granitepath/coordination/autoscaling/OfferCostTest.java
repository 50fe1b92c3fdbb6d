package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests the cost model on one machine type. */
class OfferCostTest {
    private static final long TASK_MICROS = 100 * Examples.SECOND_MICROS;
    /** 20 s to boot and 5 s to fetch an image of 5 GB at 1 GB/s. */
    private static final long STARTUP_MICROS = 25 * Examples.SECOND_MICROS;

    private final OfferCost cost = OfferCost.forTasks(Examples.batch(), TASK_MICROS, 0);

    private static double perTask(OfferCost cost, boolean spot, int tasks) {
        return cost.costPerTask(Examples.TYPE, spot, tasks, STARTUP_MICROS, 0, 0);
    }

    @Test
    void startupCoversBootAndImageFetch() {
        assertEquals(STARTUP_MICROS, cost.startupMicros(Examples.TYPE));
    }

    @Test
    void costIsProportionalToPrice() {
        assertEquals(3 * perTask(cost, true, 4), perTask(cost, false, 4), 1e-6);
    }

    @Test
    void tasksShareCost() {
        assertEquals(4 * perTask(cost, true, 4), perTask(cost, true, 1), 1e-6);
    }

    @Test
    void shortTasksPayMinimumCharge() {
        OfferCost instant = OfferCost.forTasks(Examples.batch(), 1, 0);
        OfferCost brief = OfferCost.forTasks(Examples.batch(), 30 * Examples.SECOND_MICROS, 0);
        assertEquals(perTask(instant, false, 1), perTask(brief, false, 1));
    }

    @Test
    void prefersZoneWithFewestLaunchesAmongEqualOffers() {
        double second = cost.costPerTask(Examples.TYPE, true, 4, STARTUP_MICROS, 1, 0);
        assertTrue(perTask(cost, true, 4) < second);
        assertTrue(cost.costPerTask(Examples.TYPE, true, 4, STARTUP_MICROS, 0, 1) < second);
    }

    @Test
    void lateJobWaitsForSpotOrCostsTwice() {
        JobSpec spec = Examples.job(JobSpec.Shape.BATCH, null, true, STARTUP_MICROS + TASK_MICROS);
        OfferCost inTime = OfferCost.forTasks(spec, TASK_MICROS, 0);
        OfferCost late = OfferCost.forTasks(spec, TASK_MICROS, 1);
        assertFalse(inTime.shouldWaitForSpot(STARTUP_MICROS, false));
        assertTrue(late.shouldWaitForSpot(STARTUP_MICROS, false));
        assertFalse(late.shouldWaitForSpot(STARTUP_MICROS, true));
        assertEquals(2 * perTask(inTime, true, 4), perTask(late, true, 4));
    }

    @Test
    void serviceCostGrowsWithLateStart() {
        JobSpec spec = Examples.job(JobSpec.Shape.SERVICE, null, false, JobSpec.NO_DEADLINE);
        OfferCost service = OfferCost.forService(spec, 0);
        long laterMicros = STARTUP_MICROS + 120 * Examples.SECOND_MICROS;
        double perPaidMicro = perTask(service, false, 1) / (600 * Examples.SECOND_MICROS + STARTUP_MICROS);
        double laterPerPaidMicro = service.costPerTask(Examples.TYPE, false, 1, laterMicros, 0, 0)
                / (600 * Examples.SECOND_MICROS + laterMicros);
        assertEquals(3.0, laterPerPaidMicro - perPaidMicro, 1e-6, "the hourly price is added once for each 120 s");
    }
}
