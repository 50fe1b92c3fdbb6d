package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.jobs.ArrivalRate;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.coordination.ports.CloudPort.LaunchRequest;
import org.granitepath.coordination.ports.CloudPort.Outcome;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** When machines are launched for work that waits: four tasks of one CPU, which one machine of four CPUs holds. */
class ScaleOutTest {
    private static final double ENOUGH_REQUESTS_PER_SECOND = 100;
    private static final Team LIMITED = new Team("limited", 0, CPU / 2, 0, 0);

    private final PlacementFixture fixture = new PlacementFixture(LIMITED);
    private final KeptRequests cloud = new KeptRequests();
    private final BootingMachines booting = new BootingMachines();
    private final CloudRequestBudget budget = new CloudRequestBudget(ENOUGH_REQUESTS_PER_SECOND, NOW);
    private boolean leaseConfirmed = true;
    private final ScaleOut scaleOut = new ScaleOut(
            new ScaleOutPlan.Inputs(
                    fixture.config,
                    fixture.fleet,
                    fixture.jobs,
                    new BatchPlanner(fixture.config, fixture.fleet, fixture.jobs, fixture.runtimeEstimator),
                    fixture.runtimeEstimator,
                    new ArrivalRate()),
            fixture.rules,
            () -> leaseConfirmed,
            new FailureDetector(
                    fixture.config, fixture.fleet, new Peers(fixture.config, null, fixture.timers, () -> null)),
            booting,
            budget,
            new Launcher(cloud, fixture.timers, 1, booting, () -> false),
            new SpareHeadroom());

    private ActiveJob waitingJob(PlacementFixture.JobBuilder builder) {
        ActiveJob job = builder.tasks(4).build();
        job.scheduling().markWaiting(NOW);
        return job;
    }

    private ActiveJob waitingJob() {
        return waitingJob(fixture.batch("batch", Priority.STANDARD));
    }

    /** A spot instance, on which the job can run, boots since then. */
    private void boots(long launchedMicros) {
        booting.add(new BootingMachine("i-1", fixture.fleet.types().get("small"), "a", true, launchedMicros));
    }

    private void assertLaunches(int expected) {
        scaleOut.launch(NOW);
        assertEquals(expected, cloud.launches.size());
    }

    @Test
    void whatWaitingWorkLacksIsLaunched() {
        waitingJob();
        scaleOut.launch(NOW);
        assertEquals(List.of(new LaunchRequest("b1-1", "small", "a", true, 1)), cloud.launches);
    }

    @Test
    void whatBootsIsNotLaunchedAgain() {
        waitingJob();
        boots(NOW);
        assertLaunches(0);
    }

    @Test
    void aMachineThatIsOverdueIsNotCountedOn() {
        waitingJob();
        boots(NOW - 2 * Examples.BOOT_MICROS);
        assertLaunches(1);
    }

    @Test
    void oneRequestIsUnderWayAtATime() {
        waitingJob();
        scaleOut.launch(NOW);
        scaleOut.launch(NOW + SECOND);
        assertEquals(1, cloud.launches.size());
    }

    @Test
    void anAnswerBringsTheNextLaunch() {
        waitingJob();
        scaleOut.launch(NOW);
        fixture.timers.advance(SECOND);
        cloud.answerLaunch(Outcome.NO_CAPACITY);
        assertEquals(
                List.of(
                        new LaunchRequest("b1-1", "small", "a", true, 1),
                        new LaunchRequest("b1-2", "small", "b", true, 1)),
                cloud.launches);
    }

    @Test
    void withoutALeaseNothingIsLaunched() {
        waitingJob();
        leaseConfirmed = false;
        assertLaunches(0);
    }

    @Test
    void withoutBudgetNothingIsLaunched() {
        waitingJob();
        budget.tryTake(NOW);
        assertLaunches(0);
    }

    @Test
    void nothingIsLaunchedForAJobThatDoesNotWait() {
        fixture.batch("batch", Priority.STANDARD).build();
        assertLaunches(0);
    }

    @Test
    void nothingIsLaunchedForAJobThatMayNotStartYet() {
        waitingJob().scheduling().delayStartsUntil(NOW + SECOND);
        assertLaunches(0);
    }

    @Test
    void nothingIsLaunchedForATeamAtItsLimit() {
        waitingJob(fixture.batch("batch", Priority.STANDARD).team(LIMITED.name()));
        assertLaunches(0);
    }

    @Test
    void aGangThatLostTasksBeforeItRanIsLaunchedFor() {
        waitingJob(fixture.gang("gang", Priority.STANDARD)).beginGangAttempt(1);
        assertLaunches(1);
    }

    @Test
    void nothingIsLaunchedForAGangThatRan() {
        waitingJob(fixture.gang("gang", Priority.STANDARD)).beginGangAttempt(1).markRunning();
        assertLaunches(0);
    }
}
