package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.junit.jupiter.api.Test;

/** Tests how measured run times correct the owners' estimates, which are 60 s here. */
class RuntimeEstimatorTest {
    private final RuntimeEstimator estimator = new RuntimeEstimator();
    private final ActiveJob job = Fixtures.job();
    private final ActiveJob sameClass = Fixtures.job();

    @Test
    void estimateOfOwnerIsUsedWithoutHistory() {
        assertEquals(60 * SECOND, estimator.expectedTaskMicros(job));
    }

    @Test
    void finishedTaskWeighsMoreForItsJobThanForItsClass() {
        estimator.recordFinishedTask(job, 30 * SECOND);
        double classMicros = 60.0 * SECOND * (0.5 + 10) / 11;
        assertEquals(classMicros, (double) estimator.expectedTaskMicros(sameClass), 1);
        assertEquals((30.0 * SECOND + 2 * classMicros) / 3, (double) estimator.expectedTaskMicros(job), 1);
    }

    @Test
    void classHistoryRaisesEstimateAtMostFivefold() {
        for (int i = 0; i < 300; i++) {
            estimator.recordFinishedTask(job, 6_000 * SECOND);
        }
        assertEquals(300 * SECOND, estimator.expectedTaskMicros(sameClass));
    }

    @Test
    void classHistoryLowersEstimateAtMostToOneFifth() {
        for (int i = 0; i < 300; i++) {
            estimator.recordFinishedTask(job, 1);
        }
        assertEquals(12 * SECOND, estimator.expectedTaskMicros(sameClass));
    }
}
