package org.granitepath.coordination.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** How long a task waits for an image of 3 GB on a machine that fetches 1 GB/s. */
class ImageFetchTimeTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final Machine machine = fixture.addMachine("m", false);
    private final JobSpec spec =
            fixture.batch("batch", Priority.STANDARD).imageGb(3).build().spec();

    @Test
    void anImageIsFetchedAtTheSpeedOfTheMachineType() {
        assertEquals(3, ImageFetchTime.secondsOn(machine, spec));
    }

    @Test
    void anImageThatIsThereIsNotFetched() {
        machine.capacity().addImage(spec.image());
        assertEquals(0, ImageFetchTime.secondsOn(machine, spec));
    }
}
