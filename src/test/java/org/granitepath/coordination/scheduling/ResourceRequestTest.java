package org.granitepath.coordination.scheduling;

import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.coordination.placement.StartDelay;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests which requests cannot be met if another request could not be met. */
class ResourceRequestTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final Machine machine = fixture.addMachine("m", false);

    private static ResourceRequest request(long cpuMillis, long memoryMillis, String zone, List<String> closedZones) {
        return new ResourceRequest(
                cpuMillis,
                0,
                memoryMillis,
                null,
                zone,
                closedZones,
                Set.of(),
                true,
                false,
                0,
                false,
                false,
                Priority.STANDARD);
    }

    private ResourceRequest requestOf(ActiveJob job) {
        return ResourceRequest.of(job, List.of("a", "b"), fixture.rules, NOW);
    }

    private ActiveJob waitingBatch(String id) {
        ActiveJob job = fixture.batch(id, Priority.HIGH).build();
        job.scheduling().markWaiting(NOW);
        return job;
    }

    @Test
    void requestIsAtMostAnotherOnlyIfEveryAmountIs() {
        ResourceRequest small = request(1_000, 1_000, null, List.of());
        assertTrue(small.isAtMost(request(1_000, 1_000, null, List.of())));
        assertTrue(small.isAtMost(request(1_000, 2_000, null, List.of())));
        assertFalse(small.isAtMost(request(2_000, 500, null, List.of())));
    }

    @Test
    void requestsWithDifferentConstraintsAreNotComparable() {
        ResourceRequest anywhere = request(1_000, 1_000, null, List.of());
        assertFalse(anywhere.isAtMost(request(1_000, 1_000, "a", List.of())));
        assertFalse(anywhere.isAtMost(request(1_000, 1_000, null, List.of("a"))));
    }

    /** A job whose task had failed on a machine kept all like jobs from being started there. */
    @Test
    void jobExcludedFromMachineSaysNothingAboutLikeJobs() {
        ActiveJob failed = waitingBatch("failed");
        fixture.faults.recordFailure(machine, failed, NOW);
        ResourceRequest ofFailed = requestOf(failed);
        ResourceRequest ofOther = requestOf(waitingBatch("other"));
        assertFalse(ofFailed.isAtMost(ofOther));
        assertTrue(ofOther.isAtMost(ofFailed), "what no machine can hold, the other machines can't hold either");
    }

    /** Capacity that is reserved for gangs is open to services. */
    @Test
    void batchJobSaysNothingAboutServiceOfSamePriority() {
        ActiveJob service = fixture.service("service", Priority.HIGH).build();
        assertFalse(requestOf(waitingBatch("batch")).isAtMost(requestOf(service)));
    }

    /** A job that waits for long may use the headroom of gangs. */
    @Test
    void jobThatJustBeganToWaitSaysNothingAboutOneThatWaitsForLong() {
        ActiveJob longWaiting = fixture.batch("old", Priority.HIGH).build();
        longWaiting.scheduling().markWaiting(NOW - StartDelay.MAX_WITH_FREE_CAPACITY_MICROS - 1);
        assertFalse(requestOf(waitingBatch("new")).isAtMost(requestOf(longWaiting)));
    }

    /** A deferrable task that ends before a machine's minimum charge costs nothing extra there; a longer one does. */
    @Test
    void longDeferrableTaskSaysNothingAboutShortOne() {
        ActiveJob longRunning = waitingBatch("long");
        ActiveJob shortRunning = waitingBatch("short");
        longRunning.scheduling().setDeferrable(true);
        shortRunning.scheduling().setDeferrable(true);
        fixture.runtimeEstimator.recordFinishedTask(shortRunning, SECOND);
        assertFalse(requestOf(longRunning).isAtMost(requestOf(shortRunning)));
        assertTrue(requestOf(shortRunning).isAtMost(requestOf(longRunning)));
    }
}
