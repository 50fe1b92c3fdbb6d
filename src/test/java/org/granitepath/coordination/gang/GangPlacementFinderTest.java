package org.granitepath.coordination.gang;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Machines for a whole gang or none. */
class GangPlacementFinderTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final GangPlacementFinder finder = new GangPlacementFinder(
            new GangConstraints(List.of("a", "b"), fixture.rules), fixture.rules, new MachineScorer(fixture.rules));
    private final Machine first = fixture.addMachine("m1", false);
    private final Machine second = fixture.addMachine("m2", false);
    private final ActiveJob gang =
            fixture.gang("gang", Priority.STANDARD).tasks(3).cpuMillis(2 * CPU).build();

    @Test
    void machinesWithTheImageAreFilledFirst() {
        second.capacity().addImage(gang.spec().image());
        GangPlacement placement = finder.find(gang, List.of(first, second), NOW);
        assertEquals(List.of(second, second, first), placement.machines());
        assertEquals(1, placement.imageFetches());
    }

    @Test
    void noPartOfAGangIsPlaced() {
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), first, SECOND);
        fixture.addRunningTask(fixture.batch("other", Priority.STANDARD).build(), second, SECOND);
        assertNull(finder.find(gang, List.of(first, second), NOW));
    }

    @Test
    void machineReservedForAnotherGangIsNotUsed() {
        first.reserveFor(fixture.gang("other", Priority.STANDARD).build());
        assertNull(finder.find(gang, List.of(first, second), NOW));
    }

    @Test
    void onASuspectMachineOneTaskIsTried() {
        fixture.faults.recordFailure(
                first, fixture.batch("failed", Priority.STANDARD).build(), NOW);
        GangPlacement placement = finder.find(gang, List.of(first, second), NOW);
        assertEquals(List.of(second, second, first), placement.machines());
    }
}
