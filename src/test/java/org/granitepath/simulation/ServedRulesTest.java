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
        fixture.tell(ANYWHERE, JobState.PENDING);
        fixture.tell(SPREAD, JobState.PENDING);
        fixture.tell(ONE_ZONE, JobState.PENDING);
        for (String job : List.of(ANYWHERE, SPREAD)) {
            runBothTasks(job);
        }
        fixture.rules().checkServed();
        fixture.assertNoneBroken();

        fixture.runUntil(241_000_000);
        fixture.submit("run-0", 2);
        fixture.submit("run-4", 3);
        fixture.tell("run-4", JobState.PENDING);
        fixture.rules().checkServed();

        fixture.assertBroken("unserved at 241.0 s: largest of class c: 0 of 1");
    }

    private void runBothTasks(String job) {
        fixture.start(job, 0, "a", "y");
        fixture.start(job, 1, "b", "z");
        fixture.rules().completed(new TaskId(job, 0));
        fixture.rules().completed(new TaskId(job, 1));
        fixture.rules().left(new TaskId(job, 0), "a");
        fixture.rules().left(new TaskId(job, 1), "b");
    }

    @Test
    void lateStartOfLargestJobIsReported() {
        fixture.submit("run-4", 3);
        fixture.tell("run-4", JobState.PENDING);
        fixture.runUntil(241_000_000);
        for (int i = 0; i < 3; i++) {
            fixture.start("run-4", i, "a", "z");
            fixture.rules().completed(new TaskId("run-4", i));
        }

        fixture.rules().checkServed();

        fixture.assertBroken("unserved at 241.0 s: largest of class c: run-4 begins after 241 s");
    }
}
