package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.granitepath.simulation.RulesFixture.ONE_ZONE;
import static org.granitepath.simulation.RulesFixture.SPREAD;

import java.util.List;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that {@link ServedRules} reports jobs that are not served and large jobs that start late. */
class ServedRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    @Test
    void unservedJobsAreReported() {
        fixture.deliverStatus(ANYWHERE, JobState.PENDING);
        fixture.deliverStatus(SPREAD, JobState.PENDING);
        fixture.deliverStatus(ONE_ZONE, JobState.PENDING);
        for (String job : List.of(ANYWHERE, SPREAD)) {
            runBothTasks(job);
        }
        fixture.rules().checkServed();
        fixture.assertNoViolations();

        fixture.runUntil(241_000_000);
        fixture.submitJob("run-0", 2);
        fixture.submitJob("run-4", 3);
        fixture.deliverStatus("run-4", JobState.PENDING);
        fixture.rules().checkServed();

        fixture.assertViolation("unserved at 241.0 s: largest of class c: 0 of 1");
    }

    private void runBothTasks(String job) {
        fixture.startTask(job, 0, "a", "y");
        fixture.startTask(job, 1, "b", "z");
        fixture.rules().recordTaskCompleted(new TaskId(job, 0));
        fixture.rules().recordTaskCompleted(new TaskId(job, 1));
        fixture.rules().recordTaskRemoved(new TaskId(job, 0), "a");
        fixture.rules().recordTaskRemoved(new TaskId(job, 1), "b");
    }

    @Test
    void lateStartOfLargestJobIsReported() {
        fixture.submitJob("run-4", 3);
        fixture.deliverStatus("run-4", JobState.PENDING);
        fixture.runUntil(241_000_000);
        for (int i = 0; i < 3; i++) {
            fixture.startTask("run-4", i, "a", "z");
            fixture.rules().recordTaskCompleted(new TaskId("run-4", i));
        }

        fixture.rules().checkServed();

        fixture.assertViolation("unserved at 241.0 s: largest of class c: run-4 begins after 241 s");
    }
}
