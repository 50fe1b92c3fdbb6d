package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;

/** Tests the arrival rate of live services. */
class ArrivalRateTest {
    /** The rate just after the arrival of ten tasks of 1 CPU each, averaged over a minute. */
    private static final double ONE_ARRIVAL = 10 * 1_000 / 60e6;

    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final ActiveJob service =
            Fixtures.job(Fixtures.spec(JobSpec.Shape.SERVICE, false, false, Priority.HIGH), 0, ProgressRecord.empty());

    @Test
    void onlyLiveServicesCount() {
        arrivalRate.recordArrival(Fixtures.job(), SECOND);
        assertNull(arrivalRate.newestJob());
        assertEquals(0, arrivalRate.cpuMillisPerMicro(SECOND));
        arrivalRate.recordArrival(service, SECOND);
        assertSame(service, arrivalRate.newestJob());
        assertEquals(ONE_ARRIVAL, arrivalRate.cpuMillisPerMicro(SECOND), 1e-15);
    }

    @Test
    void arrivalsAddUpAndDecay() {
        arrivalRate.recordArrival(service, SECOND);
        assertEquals(ONE_ARRIVAL / Math.E, arrivalRate.cpuMillisPerMicro(61 * SECOND), 1e-15);
        arrivalRate.recordArrival(service, 61 * SECOND);
        assertEquals(ONE_ARRIVAL * (1 + 1 / Math.E), arrivalRate.cpuMillisPerMicro(61 * SECOND), 1e-15);
    }
}
