package org.granitepath.coordination.scheduling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.Placement.Phase;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which work is stopped for which. */
class PreemptorTest {
    private final PlacementFixture fixture = new PlacementFixture(new Team("guaranteed", 4 * CPU, 0, 0, 0));
    private final Preemptor preemptor = new Preemptor(fixture.fleet, fixture.rules, fixture.tasks);
    private final Machine first = fixture.addMachine("m1", false);
    private final Machine second = fixture.addMachine("m2", false);
    private final ActiveJob live =
            fixture.service("live", Priority.CRITICAL).cpuMillis(4 * CPU).build();

    private ActiveJob batch(String id, long cpuMillis) {
        return fixture.batch(id, Priority.BEST_EFFORT).cpuMillis(cpuMillis).build();
    }

    @Test
    void machineWithTheLeastLoss() {
        ActiveJob batch = batch("batch", 4 * CPU);
        Placement longer = fixture.addRunningTask(batch, first, 100 * SECOND);
        Placement shorter = fixture.addRunningTask(batch, second, 10 * SECOND);
        assertEquals(1, preemptor.preemptFor(live, 1, false, NOW));
        assertEquals(Phase.RUNNING, longer.phase());
        assertEquals(Phase.STOPPING, shorter.phase());
    }

    @Test
    void cheapestVictimsOfOneMachineAndNoMore() {
        fixture.addRunningTask(batch("blocks", 4 * CPU), second, 1_000 * SECOND);
        Placement dear = fixture.addRunningTask(batch("dear", 2 * CPU), first, 50 * SECOND);
        Placement cheap = fixture.addRunningTask(batch("cheap", 2 * CPU), first, 5 * SECOND);
        ActiveJob small =
                fixture.service("small", Priority.CRITICAL).cpuMillis(2 * CPU).build();
        assertEquals(1, preemptor.preemptFor(small, 1, false, NOW));
        assertEquals(Phase.RUNNING, dear.phase());
        assertEquals(Phase.STOPPING, cheap.phase());
    }

    @Test
    void aCheckpointMakesATaskCheaper() {
        Placement saved = fixture.addRunningTask(
                fixture.batch("saves", Priority.BEST_EFFORT)
                        .cpuMillis(4 * CPU)
                        .checkpointMicros(10 * SECOND)
                        .build(),
                first,
                101 * SECOND);
        Placement unsaved = fixture.addRunningTask(batch("batch", 4 * CPU), second, 20 * SECOND);
        assertEquals(1, preemptor.preemptFor(live, 1, false, NOW));
        assertEquals(Phase.STOPPING, saved.phase());
        assertEquals(Phase.RUNNING, unsaved.phase());
    }

    @Test
    void whatIsStoppingAlreadyIsCounted() {
        ActiveJob batch = batch("batch", 4 * CPU);
        Placement longer = fixture.addRunningTask(batch, first, 100 * SECOND);
        fixture.addRunningTask(batch, second, 10 * SECOND);
        preemptor.preemptFor(live, 1, false, NOW);
        assertEquals(1, preemptor.preemptFor(live, 1, false, NOW));
        assertEquals(Phase.RUNNING, longer.phase());
    }

    @Test
    void servicesAndEqualPriorityAreLeftAlone() {
        fixture.addRunningTask(
                fixture.service("service", Priority.STANDARD).cpuMillis(4 * CPU).build(), first, 10 * SECOND);
        fixture.addRunningTask(
                fixture.batch("critical", Priority.CRITICAL).cpuMillis(4 * CPU).build(), second, 10 * SECOND);
        assertEquals(0, preemptor.preemptFor(live, 1, false, NOW));
    }

    private ActiveJob withDeadline() {
        return fixture.batch("urgent", Priority.HIGH)
                .cpuMillis(4 * CPU)
                .deadlineMicros(100 * SECOND)
                .build();
    }

    private ActiveJob thatSaves() {
        return fixture.batch("saves", Priority.BEST_EFFORT)
                .cpuMillis(4 * CPU)
                .checkpointMicros(60 * SECOND)
                .build();
    }

    @Test
    void aDeadlineStopsWorkThatSavesItself() {
        Placement unsaved = fixture.addRunningTask(batch("batch", 4 * CPU), first, 20 * SECOND);
        Placement saved = fixture.addRunningTask(thatSaves(), second, 100 * SECOND);
        assertEquals(1, preemptor.preemptFor(withDeadline(), 2, false, NOW));
        assertEquals(Phase.RUNNING, unsaved.phase());
        assertEquals(Phase.STOPPING, saved.phase());
        assertEquals(SECOND, saved.graceMicros());
    }

    @Test
    void aDeadlineStopsNothingThatHasHardlyRun() {
        fixture.addRunningTask(batch("batch", 4 * CPU), first, 100 * SECOND);
        fixture.addRunningTask(thatSaves(), second, 10 * SECOND);
        assertEquals(0, preemptor.preemptFor(withDeadline(), 1, false, NOW));
    }

    @Test
    void noTeamGivesBackMoreThanItHasBorrowed() {
        ActiveJob lender = fixture.batch("lender", Priority.BEST_EFFORT)
                .team("lends")
                .cpuMillis(4 * CPU)
                .build();
        lender.scheduling().setSchedulingClass(SchedulingClass.GUARANTEED);
        ActiveJob borrower = fixture.batch("borrower", Priority.STANDARD)
                .team("guaranteed")
                .cpuMillis(4 * CPU)
                .build();
        Placement longer = fixture.addRunningTask(borrower, first, 100 * SECOND);
        Placement shorter = fixture.addRunningTask(borrower, second, 10 * SECOND);
        assertEquals(1, preemptor.preemptFor(lender, 2, false, NOW));
        assertEquals(Phase.RUNNING, longer.phase());
        assertEquals(Phase.STOPPING, shorter.phase());
    }
}
