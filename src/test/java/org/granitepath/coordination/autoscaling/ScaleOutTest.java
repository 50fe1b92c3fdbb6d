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

/**
 * Tests when machines are launched for waiting work. The work consists of four tasks of one CPU each, which fit on one
 * machine of four CPUs.
 */
class ScaleOutTest {
    private static final double ENOUGH_REQUESTS_PER_SECOND = 100;
    private static final Team LIMITED = new Team("limited", 0, CPU / 2, 0, 0);

    private final PlacementFixture fixture = new PlacementFixture(LIMITED);
    private final RecordingCloud cloud = new RecordingCloud();
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

    /** Adds a booting spot instance on which the job can run. */
    private void addBootingMachine(long launchedMicros) {
        booting.add(new BootingMachine("i-1", fixture.fleet.types().get("small"), "a", true, launchedMicros));
    }

    private void assertLaunches(int expected) {
        scaleOut.launch(NOW);
        assertEquals(expected, cloud.launches.size());
    }

    @Test
    void launchesMachineForWaitingWork() {
        waitingJob();
        scaleOut.launch(NOW);
        assertEquals(List.of(new LaunchRequest("b1-1", "small", "a", true, 1)), cloud.launches);
    }

    @Test
    void countsOnBootingMachine() {
        waitingJob();
        addBootingMachine(NOW);
        assertLaunches(0);
    }

    @Test
    void doesNotCountOnOverdueMachine() {
        waitingJob();
        addBootingMachine(NOW - 2 * Examples.BOOT_MICROS);
        assertLaunches(1);
    }

    @Test
    void sendsOneRequestAtATime() {
        waitingJob();
        scaleOut.launch(NOW);
        scaleOut.launch(NOW + SECOND);
        assertEquals(1, cloud.launches.size());
    }

    @Test
    void launchesNextOfferAfterAnswer() {
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
    void launchesNothingWithoutConfirmedLease() {
        waitingJob();
        leaseConfirmed = false;
        assertLaunches(0);
    }

    @Test
    void launchesNothingWithoutRequestBudget() {
        waitingJob();
        budget.tryAcquire(NOW);
        assertLaunches(0);
    }

    @Test
    void launchesNothingForJobThatDoesNotWait() {
        fixture.batch("batch", Priority.STANDARD).build();
        assertLaunches(0);
    }

    @Test
    void launchesNothingBeforeEarliestStart() {
        waitingJob().scheduling().delayStartsUntil(NOW + SECOND);
        assertLaunches(0);
    }

    @Test
    void launchesNothingForTeamAtItsLimit() {
        waitingJob(fixture.batch("batch", Priority.STANDARD).team(LIMITED.name()));
        assertLaunches(0);
    }

    @Test
    void launchesForGangThatLostTasksBeforeItRan() {
        waitingJob(fixture.gang("gang", Priority.STANDARD)).beginGangAttempt(1);
        assertLaunches(1);
    }

    @Test
    void launchesNothingForGangThatRan() {
        waitingJob(fixture.gang("gang", Priority.STANDARD)).beginGangAttempt(1).markRunning();
        assertLaunches(0);
    }
}
