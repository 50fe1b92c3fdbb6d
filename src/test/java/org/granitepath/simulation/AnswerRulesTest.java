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
        fixture.tell(ANYWHERE, JobState.PENDING);
        fixture.tell(SPREAD, JobState.PENDING);
        fixture.runUntil(70_000_000);
        fixture.tell(SPREAD, JobState.PENDING);
        fixture.rules().checkKnown(0);
        fixture.assertNoneBroken();
        fixture.runUntil(76_000_000);
        fixture.rules().checkKnown(5_000_000);
        assertTrue(fixture.rules().broken().isEmpty(), "troubles were over only 71 s ago");

        fixture.rules().checkKnown(0);

        fixture.assertBroken("forgotten");
    }

    @Test
    void acceptanceOfUnschedulableJobIsReported() {
        fixture.rules().submittingUnschedulable("run-9");
        fixture.rules().told("run-9", new JobResponse.Unschedulable("too large"));
        fixture.assertNoneBroken();

        fixture.tell("run-9", JobState.PENDING);

        fixture.assertBroken("accepted_impossible");
    }

    /** An accepted job is reported as not found, then as done before it is, then as running again. */
    @Test
    void contradictoryAnswersAreReported() {
        fixture.tell(ANYWHERE, JobState.PENDING);
        fixture.rules().told(ANYWHERE, new JobResponse.NotFound());
        fixture.assertBroken("forgotten");

        fixture.rules().forgetBroken();
        fixture.tell(ANYWHERE, JobState.DONE);
        fixture.assertBroken("not_done");

        fixture.rules().forgetBroken();
        fixture.tell(ANYWHERE, JobState.RUNNING);
        fixture.assertBroken("went_back");
    }
}
