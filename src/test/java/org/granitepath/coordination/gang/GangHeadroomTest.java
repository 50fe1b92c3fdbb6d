package org.granitepath.coordination.gang;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.granitepath.coordination.placement.PlacementFixture.URGENT_CLASS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests how much capacity batch tasks leave free for a gang with four CPUs, on two machines with four CPUs each. */
class GangHeadroomTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final BatchPlanner planner =
            new BatchPlanner(fixture.config, fixture.fleet, fixture.jobs, fixture.runtimeEstimator);
    private final GangHeadroom headroom = new GangHeadroom(fixture.fleet, planner);
    private final Machine first = fixture.addMachine("m1", false);
    private final ActiveJob batch =
            fixture.batch("batch", Priority.STANDARD).cpuMillis(3 * CPU).build();

    GangHeadroomTest() {
        fixture.addMachine("m2", false);
        batch.scheduling().markWaiting(NOW);
    }

    private void addUrgentGang() {
        fixture.gang("gang", Priority.STANDARD).jobClass(URGENT_CLASS).tasks(4).build();
    }

    private void update() {
        planner.updateIfDue(NOW);
        headroom.update();
    }

    @Test
    void nothingIsKeptFreeWithoutAnUrgentGang() {
        update();
        headroom.onTaskPlaced(first, batch.spec());
        headroom.onTaskPlaced(first, batch.spec());
        assertTrue(headroom.allows(first, batch, NOW));
        assertFalse(headroom.isNeeded(first));
    }

    @Test
    void batchTasksLeaveTheHeadroomOfTheGangFree() {
        addUrgentGang();
        update();
        assertTrue(headroom.allows(first, batch, NOW));
        headroom.onTaskPlaced(first, batch.spec());
        assertFalse(headroom.allows(first, batch, NOW));
        assertTrue(headroom.allows(fixture.addMachine("spot", true), batch, NOW));
    }

    @Test
    void batchJobThatHasWaitedLongUsesTheHeadroom() {
        addUrgentGang();
        update();
        headroom.onTaskPlaced(first, batch.spec());
        assertTrue(headroom.allows(first, batch, NOW + 76 * SECOND));
    }

    @Test
    void oneOfTwoIdleMachinesIsKept() {
        addUrgentGang();
        update();
        assertFalse(headroom.isNeeded(first));
        headroom.onMachineTerminated(first);
        assertTrue(headroom.isNeeded(first));
    }
}
