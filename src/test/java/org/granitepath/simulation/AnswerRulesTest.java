package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.granitepath.simulation.RulesFixture.SPREAD;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.junit.jupiter.api.Test;

/** Tests that {@link AnswerRules} reports wrong and missing answers to users. */
class AnswerRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    @Test
    void acceptedJobWithoutLaterAnswerIsReported() {
        fixture.deliverStatus(ANYWHERE, JobState.PENDING);
        fixture.deliverStatus(SPREAD, JobState.PENDING);
        fixture.runUntil(70_000_000);
        fixture.deliverStatus(SPREAD, JobState.PENDING);
        fixture.rules().checkAnswered(0);
        fixture.assertNoViolations();
        fixture.runUntil(76_000_000);
        fixture.rules().checkAnswered(5_000_000);
        assertTrue(fixture.rules().violations().isEmpty(), "the faults ended only 71 s ago");

        fixture.rules().checkAnswered(0);

        fixture.assertViolation("forgotten");
    }

    @Test
    void acceptanceOfUnschedulableJobIsReported() {
        fixture.rules().recordUnschedulableSubmission("run-9");
        fixture.rules().recordResponse("run-9", new JobResponse.Unschedulable("too large"));
        fixture.assertNoViolations();

        fixture.deliverStatus("run-9", JobState.PENDING);

        fixture.assertViolation("accepted_impossible");
    }

    /** An accepted job is reported as not found, then as done before it is, then as running again. */
    @Test
    void contradictoryAnswersAreReported() {
        fixture.deliverStatus(ANYWHERE, JobState.PENDING);
        fixture.rules().recordResponse(ANYWHERE, new JobResponse.NotFound());
        fixture.assertViolation("forgotten");

        fixture.rules().clearViolations();
        fixture.deliverStatus(ANYWHERE, JobState.DONE);
        fixture.assertViolation("not_done");

        fixture.rules().clearViolations();
        fixture.deliverStatus(ANYWHERE, JobState.RUNNING);
        fixture.assertViolation("went_back");
    }
}
