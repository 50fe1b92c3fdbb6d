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
        fixture.rules().cancelling(job);
        fixture.tell(job, JobState.CANCELLED);
    }

    @Test
    void cancelledTaskRunningPastItsBoundIsReported() {
        fixture.start(ANYWHERE, 0, "a", "z");
        cancel(ANYWHERE);
        fixture.runUntil(10_000_000);
        fixture.rules().check();
        fixture.assertNoneBroken();

        fixture.runUntil(10_000_001);
        fixture.rules().check();

        fixture.assertBroken("ran_cancelled");
    }

    @Test
    void startSentAfterCancellationIsReported() {
        fixture.rules().commandSent(new TaskId(ANYWHERE, 0));
        cancel(ANYWHERE);
        fixture.assertNoneBroken();

        fixture.rules().commandSent(new TaskId(ANYWHERE, 1));

        fixture.assertBroken("started_cancelled");
    }

    /** A task of a cancelled job is on a machine that hangs, and runs on when the machine resumes. */
    @Test
    void cancelledTaskRunningOnAfterItsMachineHungIsReported() {
        SimWorker worker = fixture.worker();
        worker.commands(1, 1, List.of(WorkerCommand.start(new TaskId(ANYWHERE, 0), 7)));
        fixture.runCheckedUntil(1_000_000);
        assertEquals(1, fixture.rules().usedBy(TEAM) / 1_000);
        cancel(ANYWHERE);
        worker.hang(true);
        fixture.runCheckedUntil(5_000_000);
        worker.hang(false);
        fixture.runCheckedUntil(10_900_000);
        fixture.assertNoneBroken();

        fixture.runCheckedUntil(11_100_000);

        List<String> broken = fixture.rules().broken();
        assertTrue(broken.get(0).startsWith("ran_cancelled"), broken.toString());
    }
}
