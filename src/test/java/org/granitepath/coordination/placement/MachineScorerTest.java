package org.granitepath.coordination.placement;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** The order in which machines are preferred. */
class MachineScorerTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final MachineScorer machineScorer = new MachineScorer(fixture.rules);
    private final ActiveJob batch = fixture.batch("batch", Priority.STANDARD).build();
    private final ActiveJob service =
            fixture.service("service", Priority.STANDARD).build();
    private final ActiveJob otherService =
            fixture.service("other-service", Priority.STANDARD).build();

    private void assertPreferred(Machine better, Machine worse, ActiveJob job) {
        assertTrue(machineScorer.score(better, job.spec()) > machineScorer.score(worse, job.spec()));
    }

    @Test
    void imageThenFetchUnderWayThenNeither() {
        Machine withImage = fixture.addMachine("with-image", false);
        Machine fetching = fixture.addMachine("fetching", false);
        Machine without = fixture.addMachine("without", false);
        withImage.capacity().addImage(batch.spec().image());
        fixture.tasks.start(batch, fetching, NOW);
        assertPreferred(withImage, fetching, batch);
        assertPreferred(fetching, without, batch);
    }

    @Test
    void tighterFit() {
        Machine empty = fixture.addMachine("empty", false);
        Machine fuller = fixture.addMachine("fuller", false);
        ActiveJob large =
                fixture.batch("large", Priority.STANDARD).cpuMillis(3 * CPU).build();
        fixture.addRunningTask(large, fuller, SECOND);
        assertPreferred(fuller, empty, batch);
    }

    @Test
    void servicesGatherAndBatchWorkAvoidsThem() {
        Machine empty = fixture.addMachine("empty", false);
        Machine withService = fixture.addMachine("with-service", false);
        fixture.addRunningTask(otherService, withService, SECOND);
        assertPreferred(withService, empty, service);
        assertPreferred(empty, withService, batch);
    }

    @Test
    void batchWorkPrefersSpot() {
        assertPreferred(fixture.addMachine("spot", true), fixture.addMachine("full-price", false), batch);
    }

    @Test
    void suspectMachineComesLast() {
        Machine suspect = fixture.addMachine("suspect", true);
        Machine sound = fixture.addMachine("sound", false);
        suspect.capacity().addImage(batch.spec().image());
        fixture.faults.recordFailure(suspect, otherService, NOW);
        assertPreferred(sound, suspect, batch);
    }
}
