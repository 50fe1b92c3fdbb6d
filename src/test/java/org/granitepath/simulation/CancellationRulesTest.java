package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.granitepath.simulation.RulesFixture.TEAM;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.junit.jupiter.api.Test;

/** Tests that {@link CancellationRules} reports tasks that run on or start after their job's cancellation. */
class CancellationRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    private void cancel(String job) {
        fixture.rules().recordCancellationRequest(job);
        fixture.deliverStatus(job, JobState.CANCELLED);
    }

    @Test
    void cancelledTaskRunningPastItsBoundIsReported() {
        fixture.startTask(ANYWHERE, 0, "a", "z");
        cancel(ANYWHERE);
        fixture.runUntil(10_000_000);
        fixture.rules().check();
        fixture.assertNoViolations();

        fixture.runUntil(10_000_001);
        fixture.rules().check();

        fixture.assertViolation("ran_cancelled");
    }

    @Test
    void startSentAfterCancellationIsReported() {
        fixture.rules().recordStartSent(new TaskId(ANYWHERE, 0));
        cancel(ANYWHERE);
        fixture.assertNoViolations();

        fixture.rules().recordStartSent(new TaskId(ANYWHERE, 1));

        fixture.assertViolation("started_cancelled");
    }

    /** A task of a cancelled job is on a machine that hangs, and runs on when the machine resumes. */
    @Test
    void cancelledTaskRunningOnAfterItsMachineHungIsReported() {
        SimWorker worker = fixture.worker();
        worker.handleCommands(1, 1, List.of(WorkerCommand.start(new TaskId(ANYWHERE, 0), 7)));
        fixture.runUntilWithChecks(1_000_000);
        assertEquals(1, fixture.rules().usedCpuMillis(TEAM) / 1_000);
        cancel(ANYWHERE);
        worker.setHanging(true);
        fixture.runUntilWithChecks(5_000_000);
        worker.setHanging(false);
        fixture.runUntilWithChecks(10_900_000);
        fixture.assertNoViolations();

        fixture.runUntilWithChecks(11_100_000);

        List<String> broken = fixture.rules().violations();
        assertTrue(broken.get(0).startsWith("ran_cancelled"), broken.toString());
    }
}
