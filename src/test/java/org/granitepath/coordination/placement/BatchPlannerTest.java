package org.granitepath.coordination.placement;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** The classes of jobs, and which of them can wait. Tasks take 60 s, a machine has four CPUs. */
class BatchPlannerTest {
    private final PlacementFixture fixture = new PlacementFixture(new Team("g", 4 * CPU, 0, 0, 0));
    private final BatchPlanner planner =
            new BatchPlanner(fixture.config, fixture.fleet, fixture.jobs, fixture.runtimeEstimator);

    private ActiveJob due(String id, int tasks, long deadlineMicros) {
        return fixture.batch(id, Priority.STANDARD)
                .tasks(tasks)
                .deadlineMicros(deadlineMicros)
                .acceptedMicros(NOW)
                .build();
    }

    private static SchedulingClass classOf(ActiveJob job) {
        return job.scheduling().schedulingClass();
    }

    @Test
    void theMostJobsThatCanBeInTimeTogether() {
        fixture.addMachine("m1", true);
        ActiveJob small = due("small", 4, 120 * SECOND);
        ActiveJob large = due("large", 8, 180 * SECOND);
        ActiveJob alsoSmall = due("also-small", 4, 240 * SECOND);
        ActiveJob hopeless = due("hopeless", 1, 30 * SECOND);
        planner.updateIfDue(NOW);
        assertEquals(SchedulingClass.MEETS_DEADLINE, classOf(small));
        assertEquals(SchedulingClass.OTHER, classOf(large));
        assertEquals(SchedulingClass.MEETS_DEADLINE, classOf(alsoSmall));
        assertEquals(SchedulingClass.OTHER, classOf(hopeless));
    }

    @Test
    void liveServicesAndStarvedJobsNeedNoDeadline() {
        ActiveJob live = fixture.service("live", Priority.CRITICAL).build();
        ActiveJob starved = fixture.batch("starved", Priority.BEST_EFFORT)
                .acceptedMicros(NOW - 200 * SECOND)
                .build();
        ActiveJob fresh =
                fixture.batch("fresh", Priority.BEST_EFFORT).acceptedMicros(NOW).build();
        planner.updateIfDue(NOW);
        assertEquals(SchedulingClass.LIVE_SERVICE, classOf(live));
        assertEquals(SchedulingClass.MEETS_DEADLINE, classOf(starved));
        assertEquals(SchedulingClass.OTHER, classOf(fresh));
    }

    @Test
    void theGuaranteedQuotaIsForTheOldestJobsThatFitIn() {
        ActiveJob older = fixture.batch("older", Priority.BEST_EFFORT)
                .team("g")
                .tasks(3)
                .acceptedMicros(NOW - 2 * SECOND)
                .build();
        ActiveJob younger = fixture.batch("younger", Priority.STANDARD)
                .team("g")
                .tasks(2)
                .acceptedMicros(NOW - SECOND)
                .build();
        ActiveJob ofOthers = fixture.batch("of-others", Priority.STANDARD)
                .tasks(1)
                .acceptedMicros(NOW)
                .build();
        planner.updateIfDue(NOW);
        assertEquals(SchedulingClass.GUARANTEED, classOf(older));
        assertEquals(SchedulingClass.OTHER, classOf(younger));
        assertEquals(SchedulingClass.OTHER, classOf(ofOthers));
        assertTrue(planner.needsImmediateStart(older));
        assertFalse(planner.needsImmediateStart(younger));
    }

    @Test
    void aJobWaitsForCheapCapacityWhileItsDeadlineAllows() {
        fixture.addMachine("m1", true);
        ActiveJob relaxed = due("relaxed", 4, 300 * SECOND);
        ActiveJob urgent = due("urgent", 4, 100 * SECOND);
        ActiveJob service = fixture.service("service", Priority.STANDARD).build();
        planner.updateIfDue(NOW);
        assertTrue(planner.isDeferrable(relaxed, 0, NOW));
        assertFalse(planner.isDeferrable(urgent, 0, NOW));
        assertFalse(planner.isDeferrable(service, 0, NOW));
    }

    @Test
    void workTakesLessTimeWithMoreCapacity() {
        fixture.addMachine("m1", false);
        fixture.batch("batch", Priority.STANDARD).tasks(8).build();
        planner.updateIfDue(NOW);
        assertEquals(120.0 * SECOND, planner.batchCompletionMicros(0));
        assertEquals(60.0 * SECOND, planner.batchCompletionMicros(4.0 * CPU));
    }
}
